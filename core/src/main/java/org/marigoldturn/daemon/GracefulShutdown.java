package org.marigoldturn.daemon;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.marigoldturn.entry.DrainState;
import org.marigoldturn.entry.PendingOutcomes;
import org.marigoldturn.membership.MembershipController;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.peer.wire.Farewell;
import org.marigoldturn.rights.RightsLedger;
import org.marigoldturn.settings.Member;
import org.tinylog.Logger;

/**
 * Takes a daemon out of service without cutting a request: fails readiness, serves until the load
 * balancer has stopped sending, waits for running work, hands rights and claims over, and leaves.
 *
 * <p>Runs on the shutdown thread and hands changes of control state to the control thread.
 */
final class GracefulShutdown {
    private static final long POLL_MILLIS = 50;

    /** Longest time for requests whose outcome is not proven; their rights then stay assigned. */
    private static final long PENDING_TIMEOUT_MILLIS = 30_000;

    private static final long HANDOVER_TIMEOUT_MILLIS = 10_000;
    private static final long LEAVE_TIMEOUT_MILLIS = 5_000;

    /** The parts of the daemon that take part. */
    record Parts(
            DrainState drain,
            PendingOutcomes pending,
            MembershipController controller,
            RightsLedger ledger,
            RightsService rights,
            PeerClaimRegistry claims,
            PeerLink peers,
            StatePublisher publisher,
            ControlLoop control,
            LongSupplier nowMillis) {}

    private final Parts mParts;

    GracefulShutdown(Parts parts) {
        mParts = parts;
    }

    /** Runs the whole sequence; returns when the process may end. */
    void run() {
        Logger.info("entry: shutdown started; readiness fails.");
        mParts.drain().begin(mParts.nowMillis().getAsLong());
        // Each request has a deadline, so this ends.
        await(Long.MAX_VALUE, () -> mParts.drain().isDrained(mParts.nowMillis().getAsLong()));
        boolean proven = await(PENDING_TIMEOUT_MILLIS, () -> mParts.pending().size() == 0);
        onControl(
                () -> {
                    mParts.controller().stopServing();
                    mParts.ledger().close();
                });
        boolean handedOver = await(HANDOVER_TIMEOUT_MILLIS, this::handOverStep);
        onControl(mParts.claims()::handOverAll);
        if (proven && handedOver) {
            sayFarewell();
        }
        Logger.info("entry: work ended, rights handed over: {}.", handedOver);
        onControl(mParts.controller()::leave);
        boolean left = await(LEAVE_TIMEOUT_MILLIS, this::hasLeft);
        Logger.info("membership: left the member set: {}.", left);
    }

    /** Rights that were on their way when the handover ended are given away as well. */
    private boolean hasLeft() {
        handOverStep();
        return Boolean.TRUE.equals(onControl(mParts.controller()::wasRemoved));
    }

    private boolean handOverStep() {
        return Boolean.TRUE.equals(
                onControl(
                        () -> {
                            List<String> others = others();
                            if (others.isEmpty()) {
                                return true;
                            }
                            Set<String> answering = mParts.controller().answering();
                            List<String> takers =
                                    others.stream().filter(answering::contains).toList();
                            mParts.rights().giveAll(takers);
                            return mParts.ledger().handedOver(Set.of());
                        }));
    }

    private void sayFarewell() {
        for (String member : others()) {
            mParts.peers()
                    .send(member, Envelope.newBuilder().setFarewell(Farewell.getDefaultInstance()));
        }
    }

    private List<String> others() {
        return mParts.publisher().state().members().members().stream()
                .map(Member::id)
                .filter(id -> !id.equals(mParts.peers().selfId()))
                .toList();
    }

    private void onControl(Runnable task) {
        onControl(
                () -> {
                    task.run();
                    return null;
                });
    }

    private <T> T onControl(java.util.function.Supplier<T> task) {
        try {
            return CompletableFuture.supplyAsync(task, mParts.control())
                    .get(LEAVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        } catch (java.util.concurrent.ExecutionException | TimeoutException e) {
            Logger.error(e, "entry: a step of the shutdown failed.");
            return null;
        }
    }

    private boolean await(long timeoutMillis, BooleanSupplier condition) {
        long startMillis = mParts.nowMillis().getAsLong();
        while (!condition.getAsBoolean()) {
            if (mParts.nowMillis().getAsLong() - startMillis >= timeoutMillis) {
                return false;
            }
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }
}

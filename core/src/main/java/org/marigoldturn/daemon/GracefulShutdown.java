package org.marigoldturn.daemon;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.marigoldturn.entry.AbandonedAttempts;
import org.marigoldturn.entry.DrainState;
import org.marigoldturn.membership.MembershipController;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.peer.wire.Farewell;
import org.marigoldturn.rights.RightsLedger;
import org.marigoldturn.settings.Member;
import org.tinylog.Logger;

/**
 * Takes a daemon out of service without interrupting requests: fails the readiness check, serves
 * until the load balancer has stopped sending, waits for running requests, transfers rights and
 * hands claims over to other members, and leaves the member set.
 *
 * <p>Runs on the shutdown thread; changes of control state are made on the control thread.
 */
final class GracefulShutdown {
    private static final long POLL_MILLIS = 50;

    /**
     * Longest wait for proof that abandoned attempts have ended; after it their rights stay
     * assigned to this daemon.
     */
    private static final long PENDING_TIMEOUT_MILLIS = 30_000;

    private static final long HANDOVER_TIMEOUT_MILLIS = 10_000;
    private static final long LEAVE_TIMEOUT_MILLIS = 5_000;
    private static final long CONTROL_TASK_TIMEOUT_MILLIS = 5_000;

    /** The components of the daemon that the shutdown uses. */
    record Parts(
            DrainState drain,
            AbandonedAttempts abandonedAttempts,
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

    /** Runs all steps of the shutdown; returns when the process may end. */
    void run() {
        Logger.info("entry: shutdown started; the readiness check now fails.");
        mParts.drain().begin(mParts.nowMillis().getAsLong());
        // Each request has a deadline, so this wait ends without a timeout.
        await(Long.MAX_VALUE, () -> mParts.drain().isDrained(mParts.nowMillis().getAsLong()));
        boolean proven =
                await(PENDING_TIMEOUT_MILLIS, () -> mParts.abandonedAttempts().size() == 0);
        onControl(
                () -> {
                    mParts.controller().stopServing();
                    mParts.ledger().close();
                });
        boolean handedOver = await(HANDOVER_TIMEOUT_MILLIS, this::transferStep);
        onControl(mParts.claims()::handOverAll);
        if (proven && handedOver) {
            sendFarewell();
        }
        Logger.info("entry: serving ended, rights handed over: {}.", handedOver);
        onControl(mParts.controller()::leave);
        boolean left = await(LEAVE_TIMEOUT_MILLIS, this::leaveStep);
        Logger.info("membership: left the member set: {}.", left);
    }

    /**
     * Transfers rights that arrived since the last transfer, and returns whether this daemon was
     * removed from the member set.
     */
    private boolean leaveStep() {
        transferStep();
        return Boolean.TRUE.equals(onControl(mParts.controller()::wasRemoved));
    }

    /**
     * Transfers free rights to responding members; returns whether no rights are left to transfer,
     * or there is no other member.
     */
    private boolean transferStep() {
        return Boolean.TRUE.equals(
                onControl(
                        () -> {
                            List<String> otherMembers = otherMembers();
                            if (otherMembers.isEmpty()) {
                                return true;
                            }
                            Set<String> responding = mParts.controller().respondingMembers();
                            List<String> recipients =
                                    otherMembers.stream().filter(responding::contains).toList();
                            mParts.rights().transferAll(recipients);
                            return mParts.ledger().isHandedOver(Set.of());
                        }));
    }

    private void sendFarewell() {
        for (String member : otherMembers()) {
            mParts.peers()
                    .send(member, Envelope.newBuilder().setFarewell(Farewell.getDefaultInstance()));
        }
    }

    private List<String> otherMembers() {
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
                    .get(CONTROL_TASK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        } catch (java.util.concurrent.ExecutionException | TimeoutException e) {
            Logger.error(e, "entry: a step of the shutdown failed; the shutdown continues.");
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

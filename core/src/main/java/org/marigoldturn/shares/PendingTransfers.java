package org.marigoldturn.shares;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.marigoldturn.shares.TransferPlanner.Move;

/**
 * Transfers of one resource that its coordinator has asked for and the reports do not show yet.
 *
 * <p>The giver and the taker of a transfer report at different times and in either order, so each
 * side is settled by its own reports. Not thread safe.
 */
final class PendingTransfers {
    /** Time for which a transfer counts as carried out without a report of one side. */
    private static final long PENDING_MILLIS = 2000;

    /** A transfer, or the rest of it. */
    private static final class Transfer {
        private final Move mMove;

        /** Rights that the reported holding of the giver still includes. */
        private int mToGive;

        /** Rights that the reported holding of the taker does not include yet. */
        private int mToReceive;

        private long mSettledAtMillis;

        Transfer(Move move, long nowMillis) {
            mMove = move;
            mToGive = move.count();
            mToReceive = move.count();
            mSettledAtMillis = nowMillis;
        }
    }

    private final List<Transfer> mTransfers = new ArrayList<>();

    void add(Move move, long nowMillis) {
        mTransfers.add(new Transfer(move, nowMillis));
    }

    /** Takes over a report that changes the holding of a daemon by the given number of rights. */
    void onReport(String daemon, int change, long nowMillis) {
        // A daemon may have given and received since its last report, so what has certainly
        // arrived is taken out of the change before the rest of it is attributed.
        int rest = change - settleArrived(daemon);
        for (Transfer transfer : mTransfers) {
            if (rest < 0 && transfer.mMove.giver().equals(daemon)) {
                int given = Math.min(-rest, transfer.mToGive);
                rest += given;
                transfer.mToGive -= given;
                transfer.mSettledAtMillis = given > 0 ? nowMillis : transfer.mSettledAtMillis;
            } else if (rest > 0 && transfer.mMove.taker().equals(daemon)) {
                int received = Math.min(rest, transfer.mToReceive);
                rest -= received;
                transfer.mToReceive -= received;
            }
        }
        mTransfers.removeIf(transfer -> transfer.mToGive == 0 && transfer.mToReceive == 0);
    }

    /** Settles and returns the rights that their givers had reported as given before. */
    private int settleArrived(String taker) {
        int arrived = 0;
        for (Transfer transfer : mTransfers) {
            if (transfer.mMove.taker().equals(taker) && transfer.mToReceive > transfer.mToGive) {
                arrived += transfer.mToReceive - transfer.mToGive;
                transfer.mToReceive = transfer.mToGive;
            }
        }
        return arrived;
    }

    void expire(long nowMillis) {
        mTransfers.removeIf(t -> nowMillis - t.mSettledAtMillis >= PENDING_MILLIS);
    }

    /** Returns whether the giver has not reported an earlier transfer to the same taker. */
    boolean isOpen(Move move) {
        return mTransfers.stream()
                .anyMatch(
                        t ->
                                t.mToGive > 0
                                        && t.mMove.giver().equals(move.giver())
                                        && t.mMove.taker().equals(move.taker()));
    }

    /** Changes the reported holdings to what they are after the transfers. */
    void applyTo(Map<String, Integer> held) {
        for (Transfer transfer : mTransfers) {
            held.computeIfPresent(transfer.mMove.giver(), (id, n) -> n - transfer.mToGive);
            held.computeIfPresent(transfer.mMove.taker(), (id, n) -> n + transfer.mToReceive);
        }
    }
}

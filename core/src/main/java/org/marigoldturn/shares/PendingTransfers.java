package org.marigoldturn.shares;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.marigoldturn.shares.TransferPlanner.Move;

/**
 * Tracks the transfers of one resource that its coordinator has requested and that the reports of
 * the daemons do not show yet.
 *
 * <p>The source and the recipient of a transfer report at different times and in either order, so
 * each side is tracked by its own reports. Not thread safe.
 */
final class PendingTransfers {
    /**
     * Time for which a transfer counts as under way, after its request or after the last report of
     * its source that shows a part of it.
     */
    private static final long PENDING_MILLIS = 2000;

    /** The part of a transfer that has not been reported yet. */
    private static final class Transfer {
        private final Move mMove;

        /** Rights that the reported holding of the source still includes. */
        private int mToSend;

        /** Rights that the reported holding of the recipient does not include yet. */
        private int mToReceive;

        private long mProgressAtMillis;

        Transfer(Move move, long nowMillis) {
            mMove = move;
            mToSend = move.count();
            mToReceive = move.count();
            mProgressAtMillis = nowMillis;
        }
    }

    private final List<Transfer> mTransfers = new ArrayList<>();

    void add(Move move, long nowMillis) {
        mTransfers.add(new Transfer(move, nowMillis));
    }

    /** Applies a report that changes the holding of a daemon by the given number of rights. */
    void onReport(String daemon, int change, long nowMillis) {
        // The daemon may have both sent and received rights since its last report. Rights that
        // have certainly arrived are therefore subtracted before the change is attributed.
        int unattributed = change - markArrived(daemon);
        for (Transfer transfer : mTransfers) {
            if (unattributed < 0 && transfer.mMove.source().equals(daemon)) {
                int sent = Math.min(-unattributed, transfer.mToSend);
                unattributed += sent;
                transfer.mToSend -= sent;
                transfer.mProgressAtMillis = sent > 0 ? nowMillis : transfer.mProgressAtMillis;
            } else if (unattributed > 0 && transfer.mMove.recipient().equals(daemon)) {
                int received = Math.min(unattributed, transfer.mToReceive);
                unattributed -= received;
                transfer.mToReceive -= received;
            }
        }
        mTransfers.removeIf(transfer -> transfer.mToSend == 0 && transfer.mToReceive == 0);
    }

    /**
     * Marks rights as received that their sources have already reported as sent.
     *
     * @return the number of these rights
     */
    private int markArrived(String recipient) {
        int arrived = 0;
        for (Transfer transfer : mTransfers) {
            if (transfer.mMove.recipient().equals(recipient)
                    && transfer.mToReceive > transfer.mToSend) {
                arrived += transfer.mToReceive - transfer.mToSend;
                transfer.mToReceive = transfer.mToSend;
            }
        }
        return arrived;
    }

    void expire(long nowMillis) {
        mTransfers.removeIf(t -> nowMillis - t.mProgressAtMillis >= PENDING_MILLIS);
    }

    /**
     * Returns whether the source has not completely reported an earlier transfer to the recipient.
     */
    boolean isOpen(Move move) {
        return mTransfers.stream()
                .anyMatch(
                        t ->
                                t.mToSend > 0
                                        && t.mMove.source().equals(move.source())
                                        && t.mMove.recipient().equals(move.recipient()));
    }

    /** Changes reported holdings to those after the pending transfers. */
    void applyTo(Map<String, Integer> held) {
        for (Transfer transfer : mTransfers) {
            held.computeIfPresent(transfer.mMove.source(), (id, n) -> n - transfer.mToSend);
            held.computeIfPresent(transfer.mMove.recipient(), (id, n) -> n + transfer.mToReceive);
        }
    }
}

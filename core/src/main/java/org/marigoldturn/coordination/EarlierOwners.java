package org.marigoldturn.coordination;

import java.util.Optional;
import org.marigoldturn.jobs.wire.OwnerRecord;

/**
 * Computes for how long the earlier owners may still act after a takeover. Stateless.
 *
 * <p>An owner that is replaced acts for a bounded time after the store's last confirmation. If its
 * lease in the store has ended, a part of that time is over; if it was replaced because its address
 * refuses connections, it may be alive and confirmed just before.
 *
 * @see OwnershipLease
 */
final class EarlierOwners {
    /** Least time that a record tells; 0 would mean that it does not tell any. */
    private static final long LEAST_MILLIS = 1;

    private EarlierOwners() {}

    /**
     * Returns the time from the takeover on, in milliseconds.
     *
     * <p>An owner that has left by itself acts no more.
     *
     * @param last record of the last owner; empty if it is unreadable
     * @param knownForMillis for how long the new owner has known that record, at least
     * @param leaseEnded whether the last owner's lease or process has certainly ended
     */
    static long actMillis(Optional<OwnerRecord> last, long knownForMillis, boolean leaseEnded) {
        long lastOwnerMillis =
                leaseEnded ? OwnershipLease.GRACE_MILLIS : OwnershipLease.LONGEST_ACT_MILLIS;
        if (last.isPresent() && last.get().getLeft()) {
            lastOwnerMillis = LEAST_MILLIS;
        }
        long earlierOwnersMillis =
                last.map(EarlierOwners::recordedMillis).orElse(OwnershipLease.LONGEST_ACT_MILLIS)
                        - knownForMillis;
        return Math.max(lastOwnerMillis, earlierOwnersMillis);
    }

    /** Earlier versions did not record the time, and other writers may record anything. */
    private static long recordedMillis(OwnerRecord record) {
        long millis = record.getEarlierOwnersActMillis();
        return millis > 0 && millis <= OwnershipLease.LONGEST_ACT_MILLIS
                ? millis
                : OwnershipLease.LONGEST_ACT_MILLIS;
    }

    /**
     * Returns what is left of the time for which earlier owners may act.
     *
     * @param actMillis that time at the takeover
     * @param sinceMillis time since the takeover
     */
    static long remainingMillis(long actMillis, long sinceMillis) {
        return Math.max(LEAST_MILLIS, actMillis - sinceMillis);
    }

    /**
     * Returns for how long after a takeover an earlier owner may be certain of its ownership, and
     * therefore order work on hosts.
     */
    static long certainMillis(long actMillis) {
        return Math.max(0, actMillis - OwnershipLease.GRACE_MILLIS);
    }
}

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
    private EarlierOwners() {}

    /**
     * Returns the time from the takeover on, in milliseconds.
     *
     * @param last record of the last owner; empty if it is unreadable
     * @param knownForMillis for how long the new owner has known that record, at least
     * @param leaseEnded whether the last owner's lease or process has certainly ended
     */
    static long actMillis(Optional<OwnerRecord> last, long knownForMillis, boolean leaseEnded) {
        long lastOwnerMillis =
                leaseEnded ? OwnershipLease.GRACE_MILLIS : OwnershipLease.LONGEST_ACT_MILLIS;
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
     * Returns for how long after a takeover an earlier owner may be certain of its ownership, and
     * therefore order work on hosts.
     */
    static long certainMillis(long actMillis) {
        return actMillis - OwnershipLease.GRACE_MILLIS;
    }
}

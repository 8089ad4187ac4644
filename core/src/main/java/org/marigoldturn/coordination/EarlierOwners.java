package org.marigoldturn.coordination;

import java.util.Optional;
import org.marigoldturn.jobs.wire.OwnerRecord;

/**
 * Computes what the record of the last owner tells of the time of earlier owners: for how long
 * after a takeover they may still act, and when the store confirmed them last. Stateless.
 *
 * <p>An owner that is replaced acts for a bounded time after the store's last confirmation. If its
 * lease in the store has ended, a part of that time is over; if it was replaced because its address
 * refuses connections, it may be alive and confirmed just before.
 *
 * @see OwnershipLease
 */
final class EarlierOwners {
    /** Least time that a record tells; 0 would mean that it does not tell any. */
    static final long LEAST_MILLIS = 1;

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
        return Math.max(lastOwnerMillis, actBeforeLastMillis(last, knownForMillis));
    }

    /**
     * Returns for how long after the takeover the owners before the last one may act, in
     * milliseconds; not positive if they act no more.
     *
     * @param knownForMillis for how long the new owner has known the last owner's record, at least
     */
    static long actBeforeLastMillis(Optional<OwnerRecord> last, long knownForMillis) {
        return last.map(EarlierOwners::recordedMillis).orElse(OwnershipLease.LONGEST_ACT_MILLIS)
                - knownForMillis;
    }

    /** Earlier versions did not record the time, and other writers may record anything. */
    private static long recordedMillis(OwnerRecord record) {
        long millis = record.getEarlierOwnersActMillis();
        return millis > 0 && millis <= OwnershipLease.LONGEST_ACT_MILLIS
                ? millis
                : OwnershipLease.LONGEST_ACT_MILLIS;
    }

    /**
     * Returns how long before the takeover the store confirmed the last owner, at least, in
     * milliseconds.
     *
     * @param leaseExpired whether the live record is gone, which ends with the owner's lease
     * @param endedBeforeMillis how long ago the owner's process has ended, at least; 0 if that is
     *     not known
     */
    static long confirmedBeforeMillis(
            Optional<OwnerRecord> last, boolean leaseExpired, long endedBeforeMillis) {
        boolean endedByItself =
                last.isPresent() && !last.get().getLeft() && !last.get().getLeaseRevoked();
        return leaseExpired && endedByItself ? OwnershipLease.LEASE_MILLIS : endedBeforeMillis;
    }

    /**
     * Returns for how long after the takeover leases of targets may exist that were granted by an
     * owner of an earlier version, which bounded them by the time of the grant only.
     *
     * @param knownForMillis for how long the new owner has known the last owner's record, at least
     * @param actMillis for how long after the takeover earlier owners may act
     */
    static long unboundedLeasesMillis(
            Optional<OwnerRecord> last, long knownForMillis, long actMillis) {
        long recordedMillis = last.map(OwnerRecord::getUnboundedLeasesWithinMillis).orElse(0L);
        boolean valid =
                recordedMillis > 0
                        && recordedMillis
                                <= OwnershipLease.LONGEST_ACT_MILLIS
                                        + TargetLeases.LONGEST_UNBOUNDED_MILLIS;
        // Without the time in its record, the last owner itself is of an earlier version.
        return valid
                ? Math.max(LEAST_MILLIS, recordedMillis - knownForMillis)
                : actMillis + TargetLeases.LONGEST_UNBOUNDED_MILLIS;
    }

    /**
     * Returns what is left of a time that the record of a takeover tells.
     *
     * @param timeMillis that time at the takeover
     * @param sinceMillis time since the takeover
     */
    static long remainingMillis(long timeMillis, long sinceMillis) {
        return Math.max(LEAST_MILLIS, timeMillis - sinceMillis);
    }

    /**
     * Returns for how long after a takeover an earlier owner may be certain of its ownership, and
     * therefore order work on hosts.
     */
    static long certainMillis(long actMillis) {
        return Math.max(0, actMillis - OwnershipLease.GRACE_MILLIS);
    }
}

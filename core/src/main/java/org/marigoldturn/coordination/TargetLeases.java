package org.marigoldturn.coordination;

import java.util.function.LongSupplier;

/**
 * Computes when leases end that owners grant to targets, so that a new owner knows when those of
 * the owners before it have ended. Stateless.
 *
 * <p>A lease ends a bounded time after the store has confirmed its owner, or after most of the
 * recorded targets have responded to the owner. A target responds to no owner any more once it has
 * responded to a newer one. So the wait of a new owner counts from the last confirmation of the one
 * before it, and from the time at which most recorded targets have responded to the new one; it
 * does not add up with the time for which the earlier one may act.
 *
 * @see OwnershipLease
 * @see TargetMajority
 * @see EarlierTargetLeases
 */
final class TargetLeases {
    /** Longest time for which a lease outlasts the latest response of most recorded targets. */
    static final long MAJORITY_LEASE_MILLIS = 2_000;

    /** Longest time that a lease of an owner of an earlier version lasts after its grant. */
    static final long LONGEST_UNBOUNDED_MILLIS = 4_200;

    /** A shorter lease could end before the next poll renews it. */
    static final long SHORTEST_MILLIS = 500;

    private static final long CLOCK_READING_MARGIN_MILLIS = 40;

    private TargetLeases() {}

    /**
     * Returns the monotonic time at which a lease ends that is granted now; in the past if none can
     * be granted.
     *
     * @param leaseMillis length of a lease
     * @param confirmedMillis when the renewal was sent by which the store confirmed the owner last
     * @param majorityMillis returns since when most recorded targets have responded to the owner
     */
    static long endMillis(
            long nowMillis, long leaseMillis, long confirmedMillis, LongSupplier majorityMillis) {
        long endMillis = confirmedMillis + leaseMillis;
        if (endMillis < nowMillis + MAJORITY_LEASE_MILLIS) {
            endMillis = Math.max(endMillis, majorityMillis.getAsLong() + MAJORITY_LEASE_MILLIS);
        }
        return Math.min(endMillis, nowMillis + leaseMillis);
    }

    /**
     * Returns the longest time that a lease can last by the owner's clock; a target's clock may be
     * 2% slow, also in the time between its last reading and the grant.
     */
    static long longestMillis(long leaseMillis) {
        return leaseMillis * 52 / 50 + CLOCK_READING_MARGIN_MILLIS;
    }

    /**
     * Returns the monotonic time by which all leases of earlier owners have ended, whatever targets
     * respond to them.
     *
     * @param electedMillis when the new owner learnt of its takeover
     */
    static long earlierEndMillis(TakeoverTimes times, long leaseMillis, long electedMillis) {
        long renewEndMillis =
                electedMillis
                        + times.earlierOwnersActMillis()
                        + OwnershipLease.RENEWAL_GRACE_MILLIS;
        return Math.max(
                confirmedEndMillis(times, leaseMillis, electedMillis),
                Math.max(
                        renewEndMillis + longestMillis(MAJORITY_LEASE_MILLIS),
                        beforeLastEndMillis(times, leaseMillis, electedMillis)));
    }

    /**
     * Returns the monotonic time by which all leases of the last owner have ended, once most
     * recorded targets respond to a newer one.
     *
     * @param electedMillis when the new owner learnt of its takeover
     * @param majorityReadMillis time after which most of the targets that the last owner has
     *     recorded respond to no earlier owner
     */
    static long lastOwnersEndMillis(
            TakeoverTimes times, long leaseMillis, long electedMillis, long majorityReadMillis) {
        return Math.max(
                confirmedEndMillis(times, leaseMillis, electedMillis),
                majorityReadMillis + longestMillis(MAJORITY_LEASE_MILLIS));
    }

    /**
     * Returns the monotonic time by which all leases of the owners before the last one have ended.
     * The records that they knew may be a minority of those that the new owner reads.
     *
     * @param electedMillis when the new owner learnt of its takeover
     */
    static long beforeLastEndMillis(TakeoverTimes times, long leaseMillis, long electedMillis) {
        long majorityMillis =
                times.beforeLastActMillis()
                        + OwnershipLease.RENEWAL_GRACE_MILLIS
                        + longestMillis(MAJORITY_LEASE_MILLIS);
        return Math.max(
                beforeLastConfirmedEndMillis(times, leaseMillis, electedMillis),
                electedMillis + majorityMillis);
    }

    /**
     * Returns the monotonic time by which the leases have ended that owners before the last one
     * granted because the store had confirmed them, which it did until the last takeover.
     *
     * @param electedMillis when the new owner learnt of its takeover
     */
    static long beforeLastConfirmedEndMillis(
            TakeoverTimes times, long leaseMillis, long electedMillis) {
        return electedMillis + longestMillis(leaseMillis) - times.lastTermKnownMillis();
    }

    private static long confirmedEndMillis(
            TakeoverTimes times, long leaseMillis, long electedMillis) {
        return Math.max(
                electedMillis - times.confirmedBeforeMillis() + longestMillis(leaseMillis),
                electedMillis + times.unboundedLeasesMillis());
    }
}

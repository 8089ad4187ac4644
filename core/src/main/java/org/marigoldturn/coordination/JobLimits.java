package org.marigoldturn.coordination;

/**
 * Limits that the platform sets for jobs. Immutable.
 *
 * @param maxLeaseMillis longest lease that a target accepts
 * @param endedJobRetentionMillis how long the state of an ended job can be queried
 * @param entitlementWindowMillis time over which a client account may save up the jobs that it is
 *     entitled to submit; 0 if entitlements are not metered
 * @param farFactor how many times as long a task takes away from its preferred rack; 1 if it makes
 *     no difference
 */
public record JobLimits(
        long maxLeaseMillis,
        long endedJobRetentionMillis,
        long entitlementWindowMillis,
        double farFactor) {
    /**
     * Allows three polls without the last of them in time, and frees a lost target's tasks soon.
     */
    private static final long PREFERRED_LEASE_MILLIS = 3_300;

    public JobLimits {
        if (maxLeaseMillis < 500) {
            throw new IllegalArgumentException(
                    "the longest lease of a target is "
                            + maxLeaseMillis
                            + " ms; it must be at least 500 ms");
        }
        if (entitlementWindowMillis < 0) {
            throw new IllegalArgumentException(
                    "the window of entitlements is "
                            + entitlementWindowMillis
                            + " ms; it must not be negative");
        }
        if (!(farFactor >= 1 && Double.isFinite(farFactor))) {
            throw new IllegalArgumentException(
                    "the far factor is " + farFactor + "; it must be at least 1");
        }
    }

    /** Creates limits without metered entitlements and without a far factor. */
    public JobLimits(long maxLeaseMillis, long endedJobRetentionMillis) {
        this(maxLeaseMillis, endedJobRetentionMillis, 0, 1);
    }

    /** Returns the length of the leases that the owner grants. */
    long leaseMillis() {
        return Math.min(PREFERRED_LEASE_MILLIS, maxLeaseMillis);
    }
}

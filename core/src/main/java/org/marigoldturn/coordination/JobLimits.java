package org.marigoldturn.coordination;

/**
 * Limits that the platform sets for jobs. Immutable.
 *
 * @param maxLeaseMillis longest lease that a target accepts
 * @param endedJobRetentionMillis how long the state of an ended job can be queried
 * @param entitlementWindowMillis time over which a client account may save up the jobs that it is
 *     entitled to submit; 0 if entitlements are not metered
 */
public record JobLimits(
        long maxLeaseMillis, long endedJobRetentionMillis, long entitlementWindowMillis) {
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
    }

    /** Creates limits without metered entitlements. */
    public JobLimits(long maxLeaseMillis, long endedJobRetentionMillis) {
        this(maxLeaseMillis, endedJobRetentionMillis, 0);
    }

    /** Returns the length of the leases that the owner grants. */
    long leaseMillis() {
        return Math.min(PREFERRED_LEASE_MILLIS, maxLeaseMillis);
    }
}

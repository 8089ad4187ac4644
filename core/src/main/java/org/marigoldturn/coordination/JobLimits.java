package org.marigoldturn.coordination;

/**
 * Bounds that the platform states for jobs. Immutable.
 *
 * @param maxLeaseMillis longest lease that a target grants
 * @param keepEndedMillis how long the state of an ended job can be asked for
 */
public record JobLimits(long maxLeaseMillis, long keepEndedMillis) {
    /** Long enough for two polls and a short outage of a link, short for a lost target's tasks. */
    private static final long WANTED_LEASE_MILLIS = 4_000;

    public JobLimits {
        if (maxLeaseMillis < 500) {
            throw new IllegalArgumentException(
                    "a lease of " + maxLeaseMillis + " ms is shorter than two polls");
        }
    }

    /** Returns the length of the leases that the owner gives. */
    long leaseMillis() {
        return Math.min(WANTED_LEASE_MILLIS, maxLeaseMillis);
    }
}

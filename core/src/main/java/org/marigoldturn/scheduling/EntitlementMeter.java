package org.marigoldturn.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Meters the jobs that client accounts submit against the rate that each is entitled to.
 *
 * <p>A token bucket for each account: it is refilled at the account's rate and holds what the
 * account may submit within the window. The state is lost with the owner without harm, since a new
 * owner starts with full buckets. Bounded by the number of accounts. Confined to the control
 * thread.
 */
final class EntitlementMeter {
    /**
     * The fewest jobs that a full bucket holds, so that rates below one a window suffice for one.
     */
    private static final double MIN_BURST_JOBS = 1;

    private final long mWindowMillis;
    private final Map<String, Bucket> mBuckets = new HashMap<>();

    /** Tokens of one account at a time. */
    private record Bucket(double jobs, long updatedMillis) {}

    /**
     * Creates full meters.
     *
     * @param windowMillis time over which an account may save up its rate
     */
    EntitlementMeter(long windowMillis) {
        if (windowMillis < 1) {
            throw new IllegalArgumentException(
                    "the window of the entitlement is "
                            + windowMillis
                            + " ms; it must be positive");
        }
        mWindowMillis = windowMillis;
    }

    /**
     * Returns whether one more job is within the entitlement.
     *
     * @param jobsPerSecond rate that the account is entitled to
     */
    boolean allows(String account, double jobsPerSecond, long nowMillis) {
        return jobsAt(account, jobsPerSecond, nowMillis) >= 1;
    }

    /** Counts an accepted job that is within the entitlement. */
    void recordAccepted(String account, double jobsPerSecond, long nowMillis) {
        double left = jobsAt(account, jobsPerSecond, nowMillis) - 1;
        mBuckets.put(account, new Bucket(left, nowMillis));
    }

    /** Returns the time until {@link #allows} is true again; 0 if it is now. */
    long millisUntilAllowed(String account, double jobsPerSecond, long nowMillis) {
        double missing = 1 - jobsAt(account, jobsPerSecond, nowMillis);
        return missing <= 0 ? 0 : (long) Math.ceil(missing * 1_000 / jobsPerSecond);
    }

    private double jobsAt(String account, double jobsPerSecond, long nowMillis) {
        double full = Math.max(MIN_BURST_JOBS, jobsPerSecond * mWindowMillis / 1_000);
        Bucket bucket = mBuckets.get(account);
        if (bucket == null) {
            return full;
        }
        double refilled = (nowMillis - bucket.updatedMillis()) * jobsPerSecond / 1_000;
        return Math.min(full, bucket.jobs() + refilled);
    }
}

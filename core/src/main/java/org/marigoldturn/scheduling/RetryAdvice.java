package org.marigoldturn.scheduling;

/**
 * Tells a client that was refused for overload when to submit its job again.
 *
 * <p>It addresses bursts of demand that last longer than a client's deadline. The delay is the time
 * after which the backlog leaves room for the job, no longer than what lets the client come back
 * before its deadline, and spread by the job's id, so that refused clients do not return together.
 * Stateless.
 */
final class RetryAdvice {
    /** Time of the last attempt before the deadline that is left for sending and deciding it. */
    private static final long LAST_ATTEMPT_MILLIS = 500;

    /** The delays of half of the clients are this much longer. */
    private static final long SPREAD_MILLIS = 1_000;

    private static final long MILLIS_PER_SECOND = 1_000;

    private RetryAdvice() {}

    /**
     * Returns a time rounded up to whole seconds, for a client that is certain to be refused
     * before.
     */
    static long wholeSeconds(long millis) {
        return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND * MILLIS_PER_SECOND;
    }

    /**
     * Returns the delay in whole seconds, at least 1.
     *
     * @param untilRoomMillis time after which the backlog leaves room for the job
     * @param timeLeftMillis time until the client's deadline; 0 if it is not known
     */
    static int seconds(String jobId, long untilRoomMillis, long timeLeftMillis) {
        long spreadMillis = (jobId.hashCode() & 1) * SPREAD_MILLIS;
        long wantedMillis = Math.max(0, untilRoomMillis) + spreadMillis;
        long longestMillis = Admission.MAX_RETRY_AFTER_SECONDS * MILLIS_PER_SECOND;
        if (timeLeftMillis > 0) {
            longestMillis = Math.min(longestMillis, timeLeftMillis - LAST_ATTEMPT_MILLIS);
        }
        long seconds = Math.min(wantedMillis, longestMillis) / MILLIS_PER_SECOND;
        return (int) Math.max(1, seconds);
    }
}

package org.marigoldturn.entry;

/**
 * Limits the rate of log lines about rejected requests. Thread safe; the current monotonic time is
 * an argument.
 */
final class LogLimiter {
    /** Limit per second; a full queue can reject thousands of requests in a second. */
    static final int LINES_PER_SECOND = 100;

    private static final long SECOND_NANOS = 1_000_000_000;

    private long mSecond = Long.MIN_VALUE;
    private int mLines;
    private long mSuppressed;

    /** Returns whether a line may be written now; otherwise counts it as suppressed. */
    synchronized boolean tryLog(long nowNanos) {
        long second = Math.floorDiv(nowNanos, SECOND_NANOS);
        if (second != mSecond) {
            mSecond = second;
            mLines = 0;
        }
        if (mLines >= LINES_PER_SECOND) {
            mSuppressed++;
            return false;
        }
        mLines++;
        return true;
    }

    /** Returns and resets the number of suppressed lines. */
    synchronized long takeSuppressed() {
        long suppressed = mSuppressed;
        mSuppressed = 0;
        return suppressed;
    }
}

package org.marigoldturn.entry;

/**
 * Limits the lines that repeated rejections write. Thread safe; the present time is an argument.
 */
final class LogLimiter {
    /** Lines for each second; a full queue rejects thousands of requests in that time. */
    static final int LINES_PER_SECOND = 100;

    private static final long SECOND_NANOS = 1_000_000_000;

    private long mSecond = Long.MIN_VALUE;
    private int mLines;
    private long mSuppressed;

    /** Returns whether a line may be written now. */
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

    /** Returns and resets the number of lines that were not written. */
    synchronized long takeSuppressed() {
        long suppressed = mSuppressed;
        mSuppressed = 0;
        return suppressed;
    }
}

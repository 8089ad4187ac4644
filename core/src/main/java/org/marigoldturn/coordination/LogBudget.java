package org.marigoldturn.coordination;

/**
 * Limits the log lines of one kind in each second and counts those that were left out.
 *
 * <p>A second begins with the first line after the end of the last one. Confined to the control
 * thread; the current monotonic time is an argument.
 */
final class LogBudget {
    /** Length of the interval to which the limit applies. */
    static final long INTERVAL_MILLIS = 1_000;

    private final int mLinesPerSecond;
    private long mStartMillis = Long.MIN_VALUE / 2;
    private int mLines;
    private long mLeftOut;

    LogBudget(int linesPerSecond) {
        mLinesPerSecond = linesPerSecond;
    }

    /** Returns whether one more line may be written, and counts it as written or left out. */
    boolean admit(long nowMillis) {
        if (isOver(nowMillis)) {
            mStartMillis = nowMillis;
            mLines = 0;
        }
        if (mLines >= mLinesPerSecond) {
            mLeftOut++;
            return false;
        }
        mLines++;
        return true;
    }

    /**
     * Returns and clears how many lines were left out; 0 until the second in which the last of them
     * was left out is over.
     */
    long takeLeftOut(long nowMillis) {
        if (!isOver(nowMillis)) {
            return 0;
        }
        long leftOut = mLeftOut;
        mLeftOut = 0;
        return leftOut;
    }

    private boolean isOver(long nowMillis) {
        return nowMillis - mStartMillis >= INTERVAL_MILLIS;
    }
}

package org.marigoldturn.routing;

import java.util.Arrays;

/** Recent outcomes of one host; guarded by the lock of {@link HostHealth}. */
final class HostRecord {
    static final int WINDOW_SECONDS = 10;

    private static final long SECOND_NANOS = 1_000_000_000;

    private final int[] mSuccesses = new int[WINDOW_SECONDS];
    private final int[] mFailures = new int[WINDOW_SECONDS];
    private long mNewestSecond = Long.MIN_VALUE;
    private int mConsecutiveFailures;

    boolean mEjected;
    boolean mTrialRunning;

    /** Whether the host is out of use because of reports of other daemons. */
    boolean mSuspect;

    /** Whether the host was put back in use in spite of the reports; reset when these end. */
    boolean mSuspicionCleared;

    long mSuspectedSinceNanos;

    /** Number of outcomes in the 10 s before the host went out of use. */
    int mOutcomesBefore;

    long mEjectedUntilNanos;
    int mEjections;

    void add(boolean success, long nowNanos) {
        int slot = advance(nowNanos);
        if (success) {
            mSuccesses[slot]++;
            mConsecutiveFailures = 0;
        } else {
            mFailures[slot]++;
            mConsecutiveFailures++;
        }
    }

    int consecutiveFailures() {
        return mConsecutiveFailures;
    }

    int failures(long nowNanos) {
        advance(nowNanos);
        return Arrays.stream(mFailures).sum();
    }

    int outcomes(long nowNanos) {
        return failures(nowNanos) + Arrays.stream(mSuccesses).sum();
    }

    /** Returns whether most of the latest outcomes were successes; false without any. */
    boolean mostlySucceeds(long nowNanos) {
        int outcomes = outcomes(nowNanos);
        return outcomes > 0 && failures(nowNanos) * 2 < outcomes;
    }

    boolean isOutOfUse() {
        return mEjected || mSuspect;
    }

    void forgetOutcomes() {
        Arrays.fill(mSuccesses, 0);
        Arrays.fill(mFailures, 0);
        mConsecutiveFailures = 0;
    }

    /**
     * Clears the slots of seconds that left the window, and returns the slot of the present one.
     */
    private int advance(long nowNanos) {
        long second = Math.floorDiv(nowNanos, SECOND_NANOS);
        if (mNewestSecond == Long.MIN_VALUE || second - mNewestSecond >= WINDOW_SECONDS) {
            Arrays.fill(mSuccesses, 0);
            Arrays.fill(mFailures, 0);
            mNewestSecond = second;
        }
        while (mNewestSecond < second) {
            mNewestSecond++;
            int slot = (int) Math.floorMod(mNewestSecond, (long) WINDOW_SECONDS);
            mSuccesses[slot] = 0;
            mFailures[slot] = 0;
        }
        return (int) Math.floorMod(mNewestSecond, (long) WINDOW_SECONDS);
    }
}

package org.marigoldturn.scheduling;

import java.util.HashSet;
import java.util.Set;

/**
 * Tells until when no task starts on a target, and until when tasks start there only if they fit
 * nowhere else. Confined to the control thread; times are monotonic.
 */
final class StartPause {
    /** Consecutive failed runs after which tasks avoid a target. */
    private static final int FAILURES_BEFORE_AVOIDANCE = 4;

    /**
     * Number of jobs to which these runs must belong, so that one job that always fails does not
     * keep others from targets.
     */
    private static final int JOBS_BEFORE_AVOIDANCE = 2;

    private static final long FIRST_AVOIDANCE_MILLIS = 2_000;
    private static final long LONGEST_AVOIDANCE_MILLIS = 16_000;

    /**
     * For this long after an order without a response, unless it responds to another one, tasks
     * avoid the target: the next order would most likely get none either.
     */
    private static final long UNANSWERED_AVOIDANCE_MILLIS = 2_000;

    /** Cause of an avoidance after failed runs. */
    private static final String FAILED_RUNS = "FAILED_RUNS";

    /** Cause of an avoidance after an order without a response. */
    private static final String UNANSWERED_ORDER = "UNANSWERED_ORDER";

    private final Set<String> mFailedJobs = new HashSet<>();
    private long mPausedUntilMillis;
    private long mAvoidedUntilMillis;
    private long mUnansweredUntilMillis;
    private String mCause = "";
    private long mAvoidanceMillis = FIRST_AVOIDANCE_MILLIS;
    private int mConsecutiveFailures;

    /** Returns whether no task starts now. */
    boolean isPaused(long nowMillis) {
        return nowMillis < mPausedUntilMillis;
    }

    /** Returns whether tasks start now only if they fit nowhere else. */
    boolean isAvoided(long nowMillis) {
        return nowMillis < Math.max(mAvoidedUntilMillis, mUnansweredUntilMillis);
    }

    /** Returns the time by which neither holds any more. */
    long untilMillis() {
        return Math.max(mPausedUntilMillis, Math.max(mAvoidedUntilMillis, mUnansweredUntilMillis));
    }

    /** Returns a word for the cause of what holds longest; empty if nothing has held. */
    String cause() {
        return mCause;
    }

    /**
     * Starts no task until the given time.
     *
     * @param cause word for the log
     */
    void pause(long untilMillis, String cause) {
        if (untilMillis > mPausedUntilMillis) {
            recordCause(untilMillis, cause);
            mPausedUntilMillis = untilMillis;
        }
    }

    /** Records that the target has responded to an order, or that it has not. */
    void onOrderEnded(boolean responded, long nowMillis) {
        long untilMillis = responded ? 0 : nowMillis + UNANSWERED_AVOIDANCE_MILLIS;
        recordCause(untilMillis, UNANSWERED_ORDER);
        mUnansweredUntilMillis = untilMillis;
    }

    /** Updates the count of consecutive failures after the end of a run. */
    void onEnd(EndKind kind, String jobId, long nowMillis) {
        if (kind == EndKind.DONE) {
            mConsecutiveFailures = 0;
            mFailedJobs.clear();
            mAvoidanceMillis = FIRST_AVOIDANCE_MILLIS;
            return;
        }
        if (kind != EndKind.FAILED) {
            return;
        }
        mConsecutiveFailures++;
        mFailedJobs.add(jobId);
        if (mConsecutiveFailures >= FAILURES_BEFORE_AVOIDANCE
                && mFailedJobs.size() >= JOBS_BEFORE_AVOIDANCE) {
            recordCause(nowMillis + mAvoidanceMillis, FAILED_RUNS);
            mAvoidedUntilMillis = nowMillis + mAvoidanceMillis;
            mAvoidanceMillis = Math.min(2 * mAvoidanceMillis, LONGEST_AVOIDANCE_MILLIS);
            mConsecutiveFailures = FAILURES_BEFORE_AVOIDANCE - 1;
        }
    }

    private void recordCause(long untilMillis, String cause) {
        if (untilMillis > untilMillis()) {
            mCause = cause;
        }
    }
}

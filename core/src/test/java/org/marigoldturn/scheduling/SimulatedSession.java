package org.marigoldturn.scheduling;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/** What an owner knows of a target's clock, and which ends it may confirm to the target. */
final class SimulatedSession {
    private static final double SLOWEST_CLOCK = 0.98;

    private final TargetState mTarget;
    private final Set<String> mJobsOfEnds = new HashSet<>();
    private long mClock;
    private long mReadMillis;
    private boolean mKnown;
    private long mRecordedEnd;
    private long mAcknowledgedEnd;

    SimulatedSession(TargetState target) {
        mTarget = target;
    }

    /** Grants a lease and returns its end on the target's clock; 0 if that is not known. */
    long grantLease(long nowMillis) {
        if (!mKnown) {
            return 0;
        }
        long end = mClock + (nowMillis - mReadMillis) + ScheduleSimulation.LEASE_MILLIS;
        mTarget.extendLease(mReadMillis + (long) Math.ceil((end - mClock) / SLOWEST_CLOCK));
        return end;
    }

    /** Returns the number up to which a poll confirms ends; 0 if it confirms none. */
    long endToConfirm() {
        return mTarget.isReachable() && mRecordedEnd > mAcknowledgedEnd ? mRecordedEnd : 0;
    }

    /** Records the response to a poll, before the report in it is processed. */
    void onResponse(long clock, long confirmedEnd, long pollSentMillis, long nowMillis) {
        mAcknowledgedEnd = Math.max(mAcknowledgedEnd, confirmedEnd);
        mClock = clock;
        mReadMillis = nowMillis;
        mKnown = true;
        mTarget.onClock(clock, pollSentMillis);
        if (!mTarget.hasReported()) {
            mTarget.keepEarlierLease(nowMillis, ScheduleSimulation.LONGEST_LEASE_MILLIS);
        }
        mTarget.setReachable(true);
    }

    /**
     * Records a report that was processed; its ends are confirmed once no write of their jobs is
     * pending.
     */
    void onReport(TargetReport report, Predicate<String> hasPendingWrite) {
        report.ends().forEach(end -> mJobsOfEnds.add(end.task().jobId()));
        if (mJobsOfEnds.stream().noneMatch(hasPendingWrite)) {
            mRecordedEnd = mTarget.lastProcessedEnd();
            mJobsOfEnds.clear();
        }
    }
}

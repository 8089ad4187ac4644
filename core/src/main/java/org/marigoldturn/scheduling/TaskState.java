package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.marigoldturn.jobs.TaskId;

/**
 * Mutable state of one task over all its runs; tells its step when it is done. Confined to the
 * control thread.
 */
final class TaskState {
    private final TaskId mId;
    private final Runnable mOnDone;
    private final List<Run> mRuns = new ArrayList<>(1);
    private boolean mDone;
    private boolean mHeld;
    private final Set<Long> mFailedRuns = new HashSet<>(2);
    private long mLastRunNumber;
    private String mCheckpoint = "";
    private OptionalLong mPlacementWaitSinceMillis = OptionalLong.empty();
    private boolean mPlacementWaitEnded;

    TaskState(TaskId id, Runnable onDone) {
        mId = id;
        mOnDone = onDone;
    }

    TaskId id() {
        return mId;
    }

    List<Run> runs() {
        return mRuns;
    }

    boolean isDone() {
        return mDone;
    }

    boolean isWaiting() {
        return !mDone && !mHeld && mRuns.isEmpty();
    }

    boolean isHeld() {
        return mHeld;
    }

    /** Sets whether the task is held: it does not start again until it is released. */
    void setHeld(boolean held) {
        mHeld = held;
    }

    /**
     * Returns the monotonic time at which it first waited for its preferred placement although it
     * had room elsewhere; empty if it never did.
     */
    OptionalLong placementWaitSinceMillis() {
        return mPlacementWaitSinceMillis;
    }

    void beginPlacementWait(long nowMillis) {
        mPlacementWaitSinceMillis = OptionalLong.of(nowMillis);
    }

    /** Ends the wait for its preferred placement; returns whether there was one. */
    boolean endPlacementWait() {
        boolean waited = mPlacementWaitSinceMillis.isPresent() && !mPlacementWaitEnded;
        mPlacementWaitEnded = mPlacementWaitSinceMillis.isPresent();
        return waited;
    }

    /** Returns the numbers of the runs that failed. */
    Set<Long> failedRuns() {
        return mFailedRuns;
    }

    String checkpoint() {
        return mCheckpoint;
    }

    void markDone() {
        if (!mDone) {
            mDone = true;
            mOnDone.run();
        }
    }

    /** Records that a run failed; returns false if that was known. */
    boolean addFailure(long runNumber) {
        return mFailedRuns.add(runNumber);
    }

    void setCheckpoint(String checkpoint) {
        if (!checkpoint.isEmpty()) {
            mCheckpoint = checkpoint;
        }
    }

    void restore(boolean done, Set<Long> failedRuns, String checkpoint) {
        if (done) {
            markDone();
        }
        mFailedRuns.addAll(failedRuns);
        mCheckpoint = checkpoint;
    }

    void recordRunNumber(long number) {
        mLastRunNumber = Math.max(mLastRunNumber, number);
    }

    long lastRunNumber() {
        return mLastRunNumber;
    }

    /** Returns the highest number of the runs that are known, or 0 if none is. */
    long highestKnownRun() {
        long highest = mLastRunNumber;
        for (long failed : mFailedRuns) {
            highest = Math.max(highest, failed);
        }
        return highest;
    }
}

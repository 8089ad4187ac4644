package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marigoldturn.jobs.Room;
import org.marigoldturn.jobs.TaskId;

/**
 * What is known of one life of a target: its entry, the runs that may be there and its lease.
 *
 * <p>Invariant: {@code used} is the sum of the claims of all runs that may be there. Confined to
 * the control thread.
 */
public final class TargetState {
    /** Failed ends in a row, of several jobs, after which a target pauses. */
    private static final int FAILURES_BEFORE_PAUSE = 4;

    /** Jobs that these ends must belong to, so that one hopeless job blames no target. */
    private static final int JOBS_BEFORE_PAUSE = 2;

    private static final long FIRST_PAUSE_MILLIS = 2_000;
    private static final long LONGEST_PAUSE_MILLIS = 16_000;

    private final Map<TaskId, List<Run>> mRuns = new HashMap<>();
    private final Set<String> mFailedJobs = new HashSet<>();
    private final List<Run> mAbandoned = new ArrayList<>();
    private TargetEntry mEntry;
    private Room mUsed = Room.NONE;
    private Room mReserved = Room.NONE;
    private boolean mListed = true;
    private boolean mRead;
    private boolean mReadByCertainOwner;
    private boolean mReachable;
    private boolean mClosing;
    private boolean mInterrupted;
    private boolean mLoaned;
    private long mLeaseEndMillis;
    private long mPausedUntilMillis;
    private long mPauseMillis = FIRST_PAUSE_MILLIS;
    private int mFailuresInRow;
    private long mLastProcessedEnd;

    TargetState(TargetEntry entry) {
        mEntry = entry;
    }

    /** Returns the newest entry of the platform's list. */
    public TargetEntry entry() {
        return mEntry;
    }

    /** Returns whether the platform's list has it. */
    public boolean isListed() {
        return mListed;
    }

    /** Returns whether its runs were read under the present owner's token. */
    public boolean isRead() {
        return mRead;
    }

    /** Returns whether it answered the last call. */
    public boolean isReachable() {
        return mReachable;
    }

    /** Returns the monotonic time by which everything there has certainly ended without renewal. */
    public long leaseEndMillis() {
        return mLeaseEndMillis;
    }

    /** Returns the highest number of an end that was processed. */
    public long lastProcessedEnd() {
        return mLastProcessedEnd;
    }

    /** Returns all runs that may be there. */
    public Collection<Run> runs() {
        List<Run> all = new ArrayList<>();
        mRuns.values().forEach(all::addAll);
        return all;
    }

    /** Returns whether nothing can run there. */
    public boolean isIdle() {
        return mRuns.isEmpty();
    }

    /** Keeps new work away, or ends that, ahead of planned work on the host. */
    public void setClosing(boolean closing) {
        mClosing = closing;
    }

    /** Records that planned work was ordered that ends all runs there, or that it was rejected. */
    public void setInterrupted(boolean interrupted) {
        mInterrupted = interrupted;
    }

    /** Records whether its host is on loan and is to be kept free of lasting tasks. */
    public void setLoaned(boolean loaned) {
        mLoaned = loaned;
    }

    boolean isLoaned() {
        return mLoaned;
    }

    boolean isInterrupted() {
        return mInterrupted;
    }

    /** Records that a call was answered or not. */
    public void setReachable(boolean reachable) {
        mReachable = reachable;
    }

    /** Records that a lease was sent that ends at the given monotonic time at the latest. */
    public void extendLease(long leaseEndMillis) {
        mLeaseEndMillis = Math.max(mLeaseEndMillis, leaseEndMillis);
    }

    /**
     * Returns runs whose start was never answered and that were given up when the lease ended. They
     * must be stopped before the lease is renewed, since a late order could still start them.
     */
    public List<Run> abandonedRuns() {
        return mAbandoned;
    }

    void abandonUncertainRuns() {
        for (Run run : runs()) {
            if (run.phase() != Run.Phase.RUNNING) {
                mAbandoned.add(run);
            }
        }
    }

    void update(TargetEntry entry) {
        mEntry = entry;
        mListed = true;
    }

    void setListed(boolean listed) {
        mListed = listed;
    }

    /**
     * Records that its runs were read.
     *
     * @param ownerCertain whether the reader was certainly the owner
     */
    void setRead(boolean ownerCertain) {
        mRead = true;
        mReadByCertainOwner |= ownerCertain;
    }

    /** Returns whether a later owner knows it too, and reads it before it starts anything. */
    boolean wasReadByCertainOwner() {
        return mReadByCertainOwner;
    }

    void setLastProcessedEnd(long number) {
        mLastProcessedEnd = number;
    }

    void reserve(Room room) {
        mReserved = room;
    }

    Room freeBesidesReserved() {
        return free().minus(mReserved);
    }

    Room free() {
        return mEntry.capacity().minus(mUsed);
    }

    boolean accepts(Set<String> closedZones, long nowMillis) {
        return mListed
                && mRead
                && mReachable
                && !mClosing
                && !mEntry.draining()
                && nowMillis >= mPausedUntilMillis
                && !closedZones.contains(mEntry.zone());
    }

    void pause(long untilMillis) {
        mPausedUntilMillis = Math.max(mPausedUntilMillis, untilMillis);
    }

    void add(Run run) {
        mRuns.computeIfAbsent(run.task(), task -> new ArrayList<>(1)).add(run);
        mUsed = mUsed.plus(run.claim());
    }

    void remove(Run run) {
        List<Run> runs = mRuns.get(run.task());
        if (runs != null && runs.remove(run)) {
            mUsed = mUsed.minus(run.claim());
            if (runs.isEmpty()) {
                mRuns.remove(run.task());
            }
        }
    }

    Run find(TaskId task, long number) {
        for (Run run : mRuns.getOrDefault(task, List.of())) {
            if (run.number() == number) {
                return run;
            }
        }
        return null;
    }

    /** Counts the tasks of one occurrence of a step that may run there. */
    int countOfStep(String jobId, int occurrence, int step) {
        int count = 0;
        for (Map.Entry<TaskId, List<Run>> entry : mRuns.entrySet()) {
            TaskId task = entry.getKey();
            if (task.step() == step
                    && task.occurrence() == occurrence
                    && task.jobId().equals(jobId)) {
                count += entry.getValue().size();
            }
        }
        return count;
    }

    /** Judges the target by the end of a run: failures of several jobs in a row pause it. */
    void onEnd(EndKind kind, String jobId, long nowMillis) {
        if (kind == EndKind.DONE) {
            mFailuresInRow = 0;
            mFailedJobs.clear();
            mPauseMillis = FIRST_PAUSE_MILLIS;
            return;
        }
        if (kind != EndKind.FAILED) {
            return;
        }
        mFailuresInRow++;
        mFailedJobs.add(jobId);
        if (mFailuresInRow >= FAILURES_BEFORE_PAUSE && mFailedJobs.size() >= JOBS_BEFORE_PAUSE) {
            pause(nowMillis + mPauseMillis);
            mPauseMillis = Math.min(2 * mPauseMillis, LONGEST_PAUSE_MILLIS);
            mFailuresInRow = FAILURES_BEFORE_PAUSE - 1;
        }
    }
}

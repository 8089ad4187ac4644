package org.marigoldturn.scheduling;

import org.marigoldturn.jobs.Room;
import org.marigoldturn.jobs.TaskId;

/**
 * One start of a task at a target, from the decision until its end is known.
 *
 * <p>Invariant: it takes room at its target for as long as it exists. Confined to the control
 * thread.
 */
public final class Run {
    /** What is known of a run. */
    enum Phase {
        /** The order was given, its answer is not known yet. */
        STARTING,
        /** The target lists it or has accepted it. */
        RUNNING,
        /** The order got no answer; the run may exist now or later. */
        UNCERTAIN
    }

    private final TaskId mTask;
    private final long mNumber;
    private final TargetState mTarget;
    private final Room mClaim;
    private final long mDecidedMillis;
    private Phase mPhase = Phase.STARTING;
    private boolean mStopWanted;
    private boolean mStopInFlight;
    private boolean mStopConfirmed;
    private long mStopSentMillis;
    private long mConfirmedMillis;
    private int mPercent;

    Run(TaskId task, long number, TargetState target, Room claim, long nowMillis) {
        mTask = task;
        mNumber = number;
        mTarget = target;
        mClaim = claim;
        mDecidedMillis = nowMillis;
    }

    /** Returns the task that it runs. */
    public TaskId task() {
        return mTask;
    }

    /** Returns its number among the task's runs. */
    public long number() {
        return mNumber;
    }

    /** Returns where it runs. */
    public TargetState target() {
        return mTarget;
    }

    /** Returns when it was decided, in monotonic milliseconds. */
    public long decidedMillis() {
        return mDecidedMillis;
    }

    Room claim() {
        return mClaim;
    }

    Phase phase() {
        return mPhase;
    }

    boolean isStopWanted() {
        return mStopWanted;
    }

    /** Returns whether it is at work and no order is on its way that ends it. */
    boolean isAtWork() {
        return mPhase == Phase.RUNNING
                && !mStopWanted
                && mPercent >= 100
                && !mTarget.isInterrupted();
    }

    void requestStop() {
        mStopWanted = true;
    }

    /** Marks the order to stop as sent, unless one is on its way or was sent just now. */
    boolean beginStop(long nowMillis, long retryMillis) {
        boolean due = mStopSentMillis == 0 || nowMillis - mStopSentMillis >= retryMillis;
        if (!mStopWanted || mStopInFlight || !due) {
            return false;
        }
        mStopInFlight = true;
        mStopSentMillis = nowMillis;
        return true;
    }

    /** Records the answer to an order to stop, or that there was none. */
    void onStopAnswer(boolean answered, long nowMillis) {
        mStopInFlight = false;
        if (answered && !mStopConfirmed) {
            // From now on the target refuses the run, so a list without it settles its fate. Later
            // answers must not move this moment: a list may be asked for before each of them.
            mStopConfirmed = true;
            mConfirmedMillis = nowMillis;
            mPhase = Phase.RUNNING;
        }
    }

    void onStarted(long nowMillis) {
        if (mPhase != Phase.RUNNING) {
            mPhase = Phase.RUNNING;
            mConfirmedMillis = nowMillis;
        }
    }

    void onUncertain() {
        if (mPhase == Phase.STARTING) {
            mPhase = Phase.UNCERTAIN;
            mStopWanted = true;
        }
    }

    void onListed(int percent, long nowMillis) {
        mPercent = percent;
        onStarted(nowMillis);
    }

    /** Returns whether a list asked for at the given time must contain the run if it exists. */
    boolean isDecidedBy(long askedMillis) {
        return mPhase == Phase.RUNNING && askedMillis > mConfirmedMillis;
    }
}

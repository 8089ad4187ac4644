package org.marigoldturn.scheduling;

import java.util.OptionalLong;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.TaskId;

/**
 * One execution of a task on a target, from the decision to start it until its end is known.
 *
 * <p>Invariant: it reserves resources of its target for as long as it exists. Confined to the
 * control thread.
 */
public final class Run {
    /** What is known of a run. */
    enum Phase {
        /** The start order was issued; no response is known yet. */
        STARTING,
        /**
         * The target has listed or accepted the run, or has confirmed a stop order and refuses to
         * start it from now on; later reports decide whether the run exists.
         */
        RUNNING,
        /** The start order got no response; the run may exist now or later. */
        UNCERTAIN,
        /**
         * The start order got no response and is out of date at the target; later reports decide
         * whether the run exists.
         */
        OUT_OF_DATE
    }

    /** Whether and why a run is to be stopped. */
    private enum StopRequest {
        NONE,
        /** The start order has no response; a needed run is kept if the target lists it. */
        UNLESS_LISTED,
        /** The target has listed the run, so it is kept. */
        WITHDRAWN,
        /** The run is not needed, or the target has confirmed a stop order. */
        FINAL
    }

    private final TaskId mTask;
    private final long mNumber;
    private final TargetState mTarget;
    private final String mService;
    private final ResourceAmounts mReservedResources;
    private final boolean mLongRunning;
    private final long mDecidedMillis;
    private Phase mPhase = Phase.STARTING;
    private StopRequest mStopRequest = StopRequest.NONE;
    private boolean mStopInFlight;
    private boolean mStopConfirmed;
    private long mStopSentMillis;
    private long mConfirmedMillis;
    private int mPercent;
    private long mOrderEndTargetMillis = Long.MAX_VALUE;
    private boolean mOrderSent;
    private boolean mListed;
    private boolean mStartUnknown;
    private long mExpectedMillis;
    private long mTailMillis;
    private OptionalLong mBeganMillis = OptionalLong.empty();

    Run(
            TaskId task,
            long number,
            TargetState target,
            ResourceAmounts reservedResources,
            boolean longRunning,
            long nowMillis) {
        mTask = task;
        mNumber = number;
        mTarget = target;
        mService = target.entry().service();
        mReservedResources = reservedResources;
        mLongRunning = longRunning;
        mDecidedMillis = nowMillis;
    }

    /**
     * Creates the run that the next incarnation of the target may have, since it may have carried
     * out the start order; the first report of that incarnation decides whether it exists.
     */
    Run atNextIncarnation(TargetState next, long nowMillis) {
        Run run = new Run(mTask, mNumber, next, mReservedResources, mLongRunning, mDecidedMillis);
        run.mPhase = Phase.OUT_OF_DATE;
        run.mOrderSent = true;
        run.mStartUnknown = true;
        run.expect(mExpectedMillis, mTailMillis);
        if (mStopRequest == StopRequest.FINAL) {
            run.mStopRequest = StopRequest.FINAL;
        }
        // A poll that is sent now counts.
        run.mConfirmedMillis = nowMillis - 1;
        return run;
    }

    /** Returns the task that it runs. */
    public TaskId task() {
        return mTask;
    }

    /** Returns its number, which rises over the runs of the task. */
    public long number() {
        return mNumber;
    }

    /** Returns the target that runs it. */
    public TargetState target() {
        return mTarget;
    }

    /** Returns the service that its target belonged to when the run was created. */
    String service() {
        return mService;
    }

    /** Returns the monotonic time of the decision to start it. */
    public long decidedMillis() {
        return mDecidedMillis;
    }

    ResourceAmounts reservedResources() {
        return mReservedResources;
    }

    /** Returns whether its task has no end of its own. */
    boolean isLongRunning() {
        return mLongRunning;
    }

    Phase phase() {
        return mPhase;
    }

    /** Returns whether the run is to be stopped. */
    boolean isStopRequested() {
        return mStopRequest == StopRequest.UNLESS_LISTED || mStopRequest == StopRequest.FINAL;
    }

    /**
     * Returns whether a long-running task is available through this run: it has reported 100
     * percent progress and neither a stop nor an interruption of its target has been requested.
     */
    boolean isAvailable() {
        return mPhase == Phase.RUNNING
                && !isStopRequested()
                && mPercent >= 100
                && !mTarget.isInterrupted();
    }

    /**
     * Returns whether it is known to run: it was listed or accepted, no stop was confirmed since,
     * and its target responded to the last call.
     */
    boolean isKnownToRun() {
        return mPhase == Phase.RUNNING && !mStopConfirmed && mTarget.isReachable();
    }

    /** Requests a stop for good: the run is not needed, whether it exists or not. */
    void requestStop() {
        mStopRequest = StopRequest.FINAL;
    }

    /**
     * Returns whether the run is to be stopped only because its start order has no response, and no
     * stop order was confirmed; the task may still need it.
     */
    boolean isStopWithdrawable() {
        return mStopRequest == StopRequest.UNLESS_LISTED;
    }

    /**
     * Keeps the run, which the target has listed. A stop order that was sent before can still be
     * carried out; its response or a later report tells of that.
     */
    void withdrawStop() {
        mStopRequest = StopRequest.WITHDRAWN;
    }

    /** Returns whether its stop was withdrawn, so that no stop order is to be sent any more. */
    public boolean isStopWithdrawn() {
        return mStopRequest == StopRequest.WITHDRAWN;
    }

    /** Records that a stop order was not sent because the stop was withdrawn while it waited. */
    public void onStopNotSent() {
        mStopInFlight = false;
    }

    /**
     * Returns whether a stop order is to be sent now, and marks it as sent. None is sent while one
     * is in flight or {@code retryMillis} have not passed since the last one.
     */
    boolean beginStop(long nowMillis, long retryMillis) {
        boolean due = mStopSentMillis == 0 || nowMillis - mStopSentMillis >= retryMillis;
        if (!isStopRequested() || mStopInFlight || !due) {
            return false;
        }
        mStopInFlight = true;
        mStopSentMillis = nowMillis;
        return true;
    }

    /** Records the response to a stop order, or that there was none. */
    void onStopResponse(boolean responded, long nowMillis) {
        mStopInFlight = false;
        if (responded && !mStopConfirmed) {
            // From now on the target refuses to start the run, so a later report without it proves
            // that it does not exist. Responses to repeated stop orders must not move this time:
            // the last poll may have been sent before each of them, so that no report would count.
            mStopConfirmed = true;
            mStopRequest = StopRequest.FINAL;
            mConfirmedMillis = nowMillis;
            mPhase = Phase.RUNNING;
        }
    }

    /** Sets the duration that is expected of it, and one that it hardly exceeds. */
    void expect(long expectedMillis, long tailMillis) {
        mExpectedMillis = expectedMillis;
        mTailMillis = tailMillis;
    }

    /**
     * Returns the monotonic time at which its end is expected: first the expected duration and then
     * the tail counts; {@link Long#MAX_VALUE} once it has outlasted both, or if nothing is
     * expected.
     */
    long expectedEndMillis(long nowMillis) {
        long startMillis = mBeganMillis.orElse(mDecidedMillis);
        if (mExpectedMillis == 0 || nowMillis >= startMillis + mTailMillis) {
            return Long.MAX_VALUE;
        }
        long endMillis = startMillis + mExpectedMillis;
        return nowMillis < endMillis ? endMillis : startMillis + mTailMillis;
    }

    /** Records that it may have begun before this owner knew of it. */
    void markStartUnknown() {
        mStartUnknown = true;
    }

    /**
     * Returns the monotonic time at which it was first listed or accepted; empty if it was not, or
     * may have begun before.
     */
    OptionalLong beganMillis() {
        return mStartUnknown ? OptionalLong.empty() : mBeganMillis;
    }

    void onStarted(long nowMillis) {
        if (mBeganMillis.isEmpty()) {
            mBeganMillis = OptionalLong.of(nowMillis);
        }
        if (mPhase != Phase.RUNNING) {
            mPhase = Phase.RUNNING;
            mConfirmedMillis = nowMillis;
        }
    }

    /**
     * Records that the start order is sent.
     *
     * @param leaseEndTargetMillis time of the target's clock from which on the target rejects the
     *     order, the end of the lease sent with it; 0 if there is none
     */
    public void onOrderSent(long leaseEndTargetMillis) {
        mOrderSent = true;
        if (leaseEndTargetMillis > 0) {
            mOrderEndTargetMillis = leaseEndTargetMillis;
        }
    }

    /**
     * Returns whether the next incarnation of the target may carry out the start order or has done
     * so: the order was sent, and this incarnation has not listed the run. A response to the order
     * does not tell which incarnation gave it.
     */
    boolean mayExistAtNextIncarnation() {
        return mOrderSent && !mListed;
    }

    /** Returns whether it is not known if the start order has been or will be carried out. */
    boolean isUncertain() {
        return mPhase == Phase.UNCERTAIN || mPhase == Phase.OUT_OF_DATE;
    }

    /** Returns whether the start order has no response and may still be carried out. */
    boolean mayStartLater() {
        return mPhase == Phase.STARTING || mPhase == Phase.UNCERTAIN;
    }

    /**
     * Records a time that the target's clock has passed. From the end of the lease sent with it,
     * the target rejects the start order; later reports decide whether the run exists.
     *
     * @param pollSentMillis monotonic time at which the poll that read the clock was sent
     */
    void onTargetClock(long targetMillis, long pollSentMillis) {
        if (mPhase == Phase.UNCERTAIN && targetMillis > mOrderEndTargetMillis) {
            mPhase = Phase.OUT_OF_DATE;
            mConfirmedMillis = pollSentMillis;
        }
    }

    void onUncertain() {
        if (mPhase == Phase.STARTING) {
            mPhase = Phase.UNCERTAIN;
            if (mStopRequest == StopRequest.NONE) {
                mStopRequest = StopRequest.UNLESS_LISTED;
            }
        }
    }

    /** Returns whether its target has listed it as running. */
    boolean wasListed() {
        return mListed;
    }

    void onListed(int percent, long nowMillis) {
        mListed = true;
        mPercent = percent;
        onStarted(nowMillis);
    }

    /**
     * Returns whether the response to a poll sent at the given monotonic time must list the run if
     * it exists.
     */
    boolean mustBeListedByPollSentAt(long pollSentMillis) {
        return (mPhase == Phase.RUNNING || mPhase == Phase.OUT_OF_DATE)
                && pollSentMillis > mConfirmedMillis;
    }
}

package org.marigoldturn.coordination;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.LongUnaryOperator;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.scheduling.EndedRuns;
import org.marigoldturn.scheduling.Run;
import org.marigoldturn.scheduling.TargetReport;
import org.marigoldturn.scheduling.TargetState;
import org.tinylog.Logger;

/**
 * Maintains contact with one target: renews its lease and reads its runs by long polling.
 *
 * <p>At most one call is open at a time. The end of a lease is computed on the target's clock from
 * its last response; the owner assumes that this clock may be 2% slow. Confined to the control
 * thread.
 */
final class TargetSession {
    /** A poll returns after this time if no run ends; two polls fit into the preferred lease. */
    private static final long POLL_WAIT_MILLIS = 1_000;

    /** Wait of a poll that is to tell whether a start without a response was carried out. */
    private static final long UNCERTAIN_POLL_WAIT_MILLIS = 200;

    /** This many polls fit into what is left of a lease. */
    private static final long POLLS_PER_LEASE = 3;

    /** Wait of polls while leases are granted for a short time only. */
    private static final long SHORT_LEASE_POLL_WAIT_MILLIS = 300;

    private static final long RETRY_MILLIS = 200;

    /**
     * After a poll that reports ends, the next one waits for their commit, but no longer than this.
     */
    private static final long COMMIT_WAIT_MILLIS = 400;

    /** Least speed of a target's clock: the platform states that it may be 2% slow. */
    private static final double MIN_CLOCK_RATE = 0.98;

    private final TargetState mTarget;
    private final TargetClient mClient;
    private final ControlLoop mControl;
    private final Clocks mClocks;
    private final long mTerm;
    private final LongUnaryOperator mLeaseEnd;
    private final long mLongestLeaseMillis;
    private final Callbacks mCallbacks;
    private long mTargetClockMillis;
    private long mClockReadMillis;
    private boolean mClockKnown;
    private long mLeaseEndMillis;
    private long mRecordedEnd;
    private long mConfirmedEnd;
    private boolean mPollOpen;
    private SentCall mLastCall = new SentCall("none", 0, 0, 0);
    private int mCallsWithoutResponse;
    private Runnable mOnFirstPoll = () -> {};
    private long mPollCycle;
    private CompletableFuture<Void> mStored = CompletableFuture.completedFuture(null);
    private boolean mLoggedUnread;
    private boolean mClosed;

    /** Is notified of a session's events. */
    interface Callbacks {
        /**
         * The target has responded for the first time.
         *
         * @return a future that completes when its reports may be processed
         */
        CompletableFuture<Void> onFirstResponse(TargetState target);

        /**
         * Processes a report.
         *
         * @return a future that completes when the report's ends may be confirmed to the target
         */
        CompletableFuture<Void> onReport(
                TargetState target, TargetClient.PollResponse response, long pollSentMillis);

        /** A poll is about to tell the target that the store holds its ends up to this number. */
        void onEndsConfirmed(TargetState target, long upTo);

        /** The target's process has ended, or another one has its address. */
        void onEnded(TargetState target);

        /** The target has seen the higher term of a newer owner. */
        void onFenced(TargetState target);
    }

    /**
     * Creates a session that has not started.
     *
     * @param leaseEnd returns the monotonic time at which a lease ends that is granted at a
     *     monotonic time; none can be granted if it is not later
     * @param longestLeaseMillis longest time that a lease of any owner can last
     */
    TargetSession(
            TargetState target,
            TargetClient client,
            ControlLoop control,
            Clocks clocks,
            long term,
            LongUnaryOperator leaseEnd,
            long longestLeaseMillis,
            Callbacks callbacks) {
        mTarget = target;
        mClient = client;
        mControl = control;
        mClocks = clocks;
        mTerm = term;
        mLeaseEnd = leaseEnd;
        mLongestLeaseMillis = longestLeaseMillis;
        mCallbacks = callbacks;
    }

    TargetState target() {
        return mTarget;
    }

    /**
     * Starts to poll.
     *
     * @param onFirstPoll to be run once the first poll has ended, with or without a response
     */
    void start(Runnable onFirstPoll) {
        mOnFirstPoll = onFirstPoll;
        poll();
    }

    void close() {
        mClosed = true;
    }

    /** Logs the call that is open, which a later incarnation of the target may still receive. */
    void logOpenCall() {
        if (mPollOpen) {
            Logger.info(
                    "target: event=call-open target={} {} born={}",
                    mTarget.entry().id(),
                    mLastCall.describe(mClocks.now()),
                    mTarget.entry().startedEpochMillis());
        }
    }

    /**
     * Grants a lease from now on and returns its end on the target's clock; 0 if that clock is not
     * known yet or no lease can be granted.
     */
    long grantLease(long nowMillis) {
        long endMillis = mLeaseEnd.applyAsLong(nowMillis);
        if (!mClockKnown || endMillis < nowMillis + TargetLeases.SHORTEST_MILLIS) {
            return 0;
        }
        mLeaseEndMillis = endMillis;
        long end = mTargetClockMillis + (endMillis - mClockReadMillis);
        long latestMillis =
                mClockReadMillis + (long) Math.ceil((end - mTargetClockMillis) / MIN_CLOCK_RATE);
        mTarget.extendLease(latestMillis);
        return end;
    }

    private void poll() {
        if (mClosed || mPollOpen) {
            return;
        }
        if (!mTarget.abandonedRuns().isEmpty()) {
            stopAbandoned();
            return;
        }
        long now = mClocks.now();
        // An unresponsive target's lease is not renewed, so that its tasks can run elsewhere.
        long lease = mTarget.isReachable() ? grantLease(now) : 0;
        long wait = pollWaitMillis(now);
        if (mRecordedEnd > mConfirmedEnd) {
            mConfirmedEnd = mRecordedEnd;
            mCallbacks.onEndsConfirmed(mTarget, mRecordedEnd);
        }
        mLastCall = new SentCall("poll", lease > 0 ? mLeaseEndMillis - now : 0, mRecordedEnd, now);
        mPollOpen = true;
        mClient.poll(
                        mTarget.entry(),
                        new TargetClient.PollRequest(mTerm, mRecordedEnd, lease, wait))
                .whenComplete(
                        (response, failure) ->
                                mControl.execute(
                                        () -> {
                                            mPollOpen = false;
                                            onFirstPollEnded();
                                            if (mClosed) {
                                                return;
                                            }
                                            if (failure == null) {
                                                onResponse(response, now);
                                            } else {
                                                onFailure(failure);
                                            }
                                        }));
    }

    private long pollWaitMillis(long nowMillis) {
        if (!mTarget.hasReported() || !mTarget.isReachable()) {
            // The first poll must not wait, since it reads the target's clock and runs.
            return 0;
        }
        if (mTarget.hasUncertainRun()) {
            return UNCERTAIN_POLL_WAIT_MILLIS;
        }
        long untilRenewalMillis = (mLeaseEndMillis - nowMillis) / POLLS_PER_LEASE;
        return Math.min(
                POLL_WAIT_MILLIS, Math.max(SHORT_LEASE_POLL_WAIT_MILLIS, untilRenewalMillis));
    }

    private void onFirstPollEnded() {
        Runnable onFirstPoll = mOnFirstPoll;
        mOnFirstPoll = () -> {};
        onFirstPoll.run();
    }

    /**
     * Stops a run whose start was never answered, so that a late order cannot start it under a
     * renewed lease.
     */
    private void stopAbandoned() {
        Run run = mTarget.abandonedRuns().get(0);
        mLastCall = new SentCall("stop", 0, 0, mClocks.now());
        mPollOpen = true;
        mClient.stop(mTarget.entry(), run, mTerm)
                .whenComplete(
                        (done, failure) ->
                                mControl.execute(
                                        () -> {
                                            mPollOpen = false;
                                            if (failure == null) {
                                                mTarget.abandonedRuns().remove(run);
                                                poll();
                                            } else {
                                                onFailure(failure);
                                            }
                                        }));
    }

    private void onResponse(TargetClient.PollResponse response, long pollSentMillis) {
        if (response.report().startedEpochMillis() != mTarget.entry().startedEpochMillis()) {
            Logger.info(
                    RunLog.describeReplaced(
                            EndedRuns.of(mTarget), response.report().startedEpochMillis(), "poll"));
            mCallbacks.onEnded(mTarget);
            return;
        }
        boolean first = !mTarget.hasReported();
        if (first) {
            CompletableFuture<Void> mayReport = mCallbacks.onFirstResponse(mTarget);
            if (!mayReport.isDone()) {
                // The report would be out of date by then.
                var unused = mayReport.thenRun(this::poll);
                return;
            }
        }
        boolean wasReachable = mTarget.isReachable();
        mTargetClockMillis = response.targetMillis();
        mClockReadMillis = mClocks.now();
        mClockKnown = true;
        mTarget.onClock(mTargetClockMillis, pollSentMillis);
        if (first) {
            mTarget.keepEarlierLease(mClockReadMillis, mLongestLeaseMillis);
        }
        mTarget.setReachable(true);
        if (!wasReachable && !first) {
            Logger.info(
                    "target: event=regained target={} callsWithoutResponse={} lastSeen={} born={}",
                    mTarget.entry().id(),
                    mCallsWithoutResponse,
                    mRecordedEnd,
                    mTarget.entry().startedEpochMillis());
        }
        mCallsWithoutResponse = 0;
        if (first) {
            logFirstReport(response.report());
        }
        CompletableFuture<Void> stored = mCallbacks.onReport(mTarget, response, pollSentMillis);
        long processed = mTarget.lastProcessedEnd();
        if (mRecordedEnd == processed) {
            poll();
            return;
        }
        // A later report may lack ends of an earlier one, so it also waits for the earlier writes.
        mStored = mStored.thenCombine(stored, (earlier, later) -> null);
        long cycle = ++mPollCycle;
        mStored.whenComplete(
                (done, failure) -> {
                    if (failure == null) {
                        mRecordedEnd = Math.max(mRecordedEnd, processed);
                        pollAfterCommit(cycle);
                    }
                });
        mControl.after("poll", COMMIT_WAIT_MILLIS, () -> pollAfterCommit(cycle));
    }

    private void logFirstReport(TargetReport report) {
        Logger.info(
                "target: event=read target={} term={} running={} ends={} complete={} firstEnd={}"
                        + " born={}",
                mTarget.entry().id(),
                mTerm,
                report.running().size(),
                report.ends().size(),
                report.complete(),
                report.ends().isEmpty() ? 0 : report.ends().get(0).number(),
                mTarget.entry().startedEpochMillis());
    }

    private void pollAfterCommit(long cycle) {
        if (cycle == mPollCycle) {
            mPollCycle++;
            poll();
        }
    }

    private void onFailure(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        TargetCallException.Kind kind =
                cause instanceof TargetCallException e
                        ? e.kind()
                        : TargetCallException.Kind.UNANSWERED;
        if (kind == TargetCallException.Kind.FENCED) {
            mCallbacks.onFenced(mTarget);
            return;
        }
        mCallsWithoutResponse++;
        boolean firstFailure = !mTarget.hasReported() && !mLoggedUnread;
        if (mTarget.isReachable() || firstFailure) {
            mLoggedUnread = true;
            Logger.warn(
                    "target: event={} target={} kind={} cause=\"{}\" {} born={}",
                    firstFailure ? "unread" : "lost",
                    mTarget.entry().id(),
                    kind,
                    cause,
                    mLastCall.describe(mClocks.now()),
                    mTarget.entry().startedEpochMillis());
        }
        mTarget.setReachable(false);
        if (kind == TargetCallException.Kind.OTHER_INSTANCE) {
            mCallbacks.onEnded(mTarget);
            return;
        }
        mControl.after("poll retry", RETRY_MILLIS, this::poll);
    }
}

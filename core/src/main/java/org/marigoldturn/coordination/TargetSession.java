package org.marigoldturn.coordination;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.LongUnaryOperator;
import org.marigoldturn.daemon.ControlLoop;
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
    private long mAcknowledgedEnd;
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

        /** Another target has the target's address. */
        void onEnded(TargetState target);

        /**
         * The next incarnation of the target has responded.
         *
         * @param startedEpochMillis wall-clock start of that incarnation
         */
        void onRestarted(TargetState target, long startedEpochMillis);

        /** A target that has responded does not respond any more. */
        void onContactLost(TargetState target);

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

    /** Returns the last known time of the target's clock; before all times if none is known. */
    long lastClockMillis() {
        return mClockKnown ? mTargetClockMillis : Long.MIN_VALUE;
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
        long recordedEnd = endToConfirm();
        if (recordedEnd > mConfirmedEnd) {
            mConfirmedEnd = recordedEnd;
            mCallbacks.onEndsConfirmed(mTarget, recordedEnd);
        }
        mLastCall = new SentCall("poll", lease > 0 ? mLeaseEndMillis - now : 0, recordedEnd, now);

        mPollOpen = true;
        mClient.poll(
                        mTarget.entry(),
                        new TargetClient.PollRequest(token(), recordedEnd, lease, wait))
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
                                                onResponse(response, recordedEnd, now);
                                            } else {
                                                onFailure(failure);
                                            }
                                        }));
    }

    /**
     * Returns the number up to which ends are to be confirmed; 0 if no confirmation lacks a
     * response. A call can reach the next incarnation, whose ends have the same numbers.
     */
    private long endToConfirm() {
        return mTarget.isReachable() && mRecordedEnd > mAcknowledgedEnd ? mRecordedEnd : 0;
    }

    private long token() {
        return FencingToken.of(mTerm, mTarget.contact());
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
        mClient.stop(mTarget.entry(), run, token())
                .whenComplete(
                        (done, failure) ->
                                mControl.execute(
                                        () -> {
                                            mPollOpen = false;
                                            if (mClosed) {
                                                return;
                                            }
                                            if (failure == null) {
                                                mTarget.abandonedRuns().remove(run);
                                                poll();
                                            } else {
                                                onFailure(failure);
                                            }
                                        }));
    }

    private void onResponse(
            TargetClient.PollResponse response, long recordedEnd, long pollSentMillis) {
        if (response.report().startedEpochMillis() != mTarget.entry().startedEpochMillis()) {
            mCallbacks.onRestarted(mTarget, response.report().startedEpochMillis());
            return;
        }
        mAcknowledgedEnd = Math.max(mAcknowledgedEnd, recordedEnd);
        boolean first = !mTarget.hasReported();
        if (first) {
            CompletableFuture<Void> mayReport = mCallbacks.onFirstResponse(mTarget);
            if (!mayReport.isDone()) {
                mTarget.setFirstReportDue(true);
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
        mTarget.setFirstReportDue(false);
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
        if (mTarget.isReachable()) {
            mCallbacks.onContactLost(mTarget);
        }
        if (kind == TargetCallException.Kind.OTHER_INSTANCE) {
            mCallbacks.onEnded(mTarget);
            return;
        }
        mControl.after("poll retry", RETRY_MILLIS, this::poll);
    }
}

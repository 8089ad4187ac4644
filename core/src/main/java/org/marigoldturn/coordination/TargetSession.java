package org.marigoldturn.coordination;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.scheduling.Run;
import org.marigoldturn.scheduling.TargetState;
import org.tinylog.Logger;

/**
 * Keeps in touch with one target: renews its lease and reads its runs by long polls.
 *
 * <p>One poll is open at a time. The lease is computed on the target's clock from its last answer;
 * for the owner's side the clock counts as up to 2% slow. Confined to the control thread.
 */
final class TargetSession {
    /** A poll ends after this time without an end of a run; two polls fit into a lease. */
    private static final long WAIT_MILLIS = 1_500;

    private static final long RETRY_MILLIS = 200;

    /** A poll that shows ends waits for their commit, but not longer than this. */
    private static final long COMMIT_WAIT_MILLIS = 400;

    /** The platform states that a target's clock may be 2% slow. */
    private static final double SLOWEST_CLOCK = 0.98;

    private final TargetState mTarget;
    private final TargetClient mClient;
    private final ControlLoop mControl;
    private final Clocks mClocks;
    private final long mTerm;
    private final long mLeaseMillis;
    private final BooleanSupplier mMayRenew;
    private final Callbacks mCallbacks;
    private long mClockMillis;
    private long mClockReadMillis;
    private boolean mClockKnown;
    private long mNotedEnd;
    private boolean mPollOpen;
    private long mCycle;
    private CompletableFuture<Void> mStored = CompletableFuture.completedFuture(null);
    private boolean mClosed;

    /** What a session tells the owner. */
    interface Callbacks {
        /**
         * Processes a report.
         *
         * @return completes when the store holds what it said
         */
        CompletableFuture<Void> onReport(
                TargetState target, TargetClient.LookAnswer answer, long askedMillis);

        /** The target's process has ended, or another one has its address. */
        void onEnded(TargetState target);

        /** The target has seen a newer owner. */
        void onFenced(TargetState target);
    }

    TargetSession(
            TargetState target,
            TargetClient client,
            ControlLoop control,
            Clocks clocks,
            long term,
            long leaseMillis,
            BooleanSupplier mayRenew,
            Callbacks callbacks) {
        mTarget = target;
        mClient = client;
        mControl = control;
        mClocks = clocks;
        mTerm = term;
        mLeaseMillis = leaseMillis;
        mMayRenew = mayRenew;
        mCallbacks = callbacks;
    }

    TargetState target() {
        return mTarget;
    }

    void start() {
        poll();
    }

    void close() {
        mClosed = true;
    }

    /** Returns the end of a lease from now on the target's clock, and counts it as given. */
    long grantLease(long nowMillis) {
        if (!mClockKnown) {
            return 0;
        }
        long end = mClockMillis + (nowMillis - mClockReadMillis) + mLeaseMillis;
        long latestMillis =
                mClockReadMillis + (long) Math.ceil((end - mClockMillis) / SLOWEST_CLOCK);
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
        // A silent target's lease is left to end, so that its tasks can run elsewhere.
        boolean renews = mTarget.isReachable() && mMayRenew.getAsBoolean();
        long lease = renews ? grantLease(now) : 0;
        // The first look must not wait: it reads the clock and what runs there.
        long wait = mTarget.isRead() && mTarget.isReachable() ? WAIT_MILLIS : 0;
        mPollOpen = true;
        mClient.look(mTarget.entry(), new TargetClient.LookRequest(mTerm, mNotedEnd, lease, wait))
                .whenComplete(
                        (answer, failure) ->
                                mControl.execute(
                                        () -> {
                                            mPollOpen = false;
                                            if (mClosed) {
                                                return;
                                            }
                                            if (failure == null) {
                                                onAnswer(answer, now);
                                            } else {
                                                onFailure(failure);
                                            }
                                        }));
    }

    /** Makes sure that runs whose start is lost cannot begin under a renewed lease. */
    private void stopAbandoned() {
        Run run = mTarget.abandonedRuns().get(0);
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

    private void onAnswer(TargetClient.LookAnswer answer, long askedMillis) {
        if (answer.report().startedEpochMillis() != mTarget.entry().startedEpochMillis()) {
            mCallbacks.onEnded(mTarget);
            return;
        }
        boolean first = !mTarget.isRead();
        boolean wasReachable = mTarget.isReachable();
        mClockMillis = answer.targetMillis();
        mClockReadMillis = mClocks.now();
        mClockKnown = true;
        mTarget.setReachable(true);
        if (!wasReachable && !first) {
            Logger.info("target: event=regained target={}", mTarget.entry().id());
        }
        CompletableFuture<Void> stored = mCallbacks.onReport(mTarget, answer, askedMillis);
        long processed = mTarget.lastProcessedEnd();
        if (mNotedEnd == processed) {
            poll();
            return;
        }
        // A list that repeats ends adds no write, so it also waits for the writes before it.
        mStored = mStored.thenCombine(stored, (earlier, later) -> null);
        long cycle = ++mCycle;
        mStored.whenComplete(
                (done, failure) -> {
                    if (failure == null) {
                        mNotedEnd = Math.max(mNotedEnd, processed);
                        pollAfterCommit(cycle);
                    }
                });
        mControl.after("poll", COMMIT_WAIT_MILLIS, () -> pollAfterCommit(cycle));
    }

    private void pollAfterCommit(long cycle) {
        if (cycle == mCycle) {
            mCycle++;
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
        if (mTarget.isReachable()) {
            Logger.warn(
                    "target: event=lost target={} kind={} cause=\"{}\"",
                    mTarget.entry().id(),
                    kind,
                    cause);
        }
        mTarget.setReachable(false);
        if (kind == TargetCallException.Kind.REFUSED
                || kind == TargetCallException.Kind.OTHER_INSTANCE) {
            mCallbacks.onEnded(mTarget);
            return;
        }
        mControl.after("poll retry", RETRY_MILLIS, this::poll);
    }
}

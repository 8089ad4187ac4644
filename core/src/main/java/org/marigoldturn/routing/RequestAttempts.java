package org.marigoldturn.routing;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Tracks the state of one request and enforces the rules for its attempts.
 *
 * <p>Invariants: a non-idempotent request is dispatched again only after attempts that certainly
 * did not run; {@link RequestState#NOT_RUN} is reached only if no attempt may have run; there are
 * at most {@link #MAX_ATTEMPTS} attempts. Not thread safe: the owner of the request guards it.
 */
public final class RequestAttempts {
    /** Largest number of attempts of one request. */
    public static final int MAX_ATTEMPTS = 3;

    /** Upper bound of the delay before the second attempt; doubled for the third. */
    static final long BACKOFF_BASE_MILLIS = 20;

    private final boolean mIdempotent;
    private final RetryBudget mBudget;
    private final Set<String> mTriedHosts = new HashSet<>();
    private RequestState mState = RequestState.QUEUED;
    private int mAttempts;
    private boolean mMayHaveRun;

    /** Creates a queued request. */
    public RequestAttempts(boolean idempotent, RetryBudget budget) {
        mIdempotent = idempotent;
        mBudget = budget;
    }

    /** Starts an attempt. */
    public void dispatch(String host) {
        requireState(RequestState.QUEUED);
        if (mAttempts >= MAX_ATTEMPTS || (mMayHaveRun && !mIdempotent)) {
            throw new IllegalStateException(
                    ("attempt %d at host %s is not allowed: at most %d attempts may be made, and a"
                                    + " request that may have run is retried only if idempotent")
                            .formatted(mAttempts + 1, host, MAX_ATTEMPTS));
        }
        if (mAttempts == 0) {
            mBudget.onRequest();
        }
        mAttempts++;
        mTriedHosts.add(host);
        mState = RequestState.DISPATCHING;
    }

    /** Records that the target's response is valid so far and is passed to the caller. */
    public void onResponseStarted() {
        requireState(RequestState.DISPATCHING);
        mState = RequestState.ANSWERED;
    }

    /**
     * Records that an attempt failed before any part of a response was passed to the caller.
     *
     * @param remainingMillis time until the deadline of the request
     * @param otherHostExists whether a host that has not been tried yet is eligible
     */
    public AttemptDecision onFailed(
            AttemptFailure failure,
            long remainingMillis,
            boolean otherHostExists,
            RandomGenerator random) {
        requireState(RequestState.DISPATCHING);
        mMayHaveRun |= failure.mayHaveRun();
        if (mayRetry(remainingMillis, otherHostExists) && mBudget.tryRetry()) {
            mState = RequestState.QUEUED;
            return new AttemptDecision.Retry(backoffMillis(remainingMillis, random));
        }
        String reason = failure.mayHaveRun() ? "target-failed" : "target-unavailable";
        return conclude(reason);
    }

    /**
     * Replaces an attempt that may have run, because it is late or its target responded with a
     * server error. Returns the delay of the next attempt in milliseconds, or empty if none is
     * allowed; the attempt in progress then continues.
     */
    public OptionalLong tryReplace(
            long remainingMillis, boolean otherHostExists, RandomGenerator random) {
        requireState(RequestState.DISPATCHING);
        if (!mIdempotent || !mayRetry(remainingMillis, otherHostExists) || !mBudget.tryRetry()) {
            return OptionalLong.empty();
        }
        mMayHaveRun = true;
        mState = RequestState.QUEUED;
        return OptionalLong.of(backoffMillis(remainingMillis, random));
    }

    /**
     * Ends a request while it waits or while an attempt is in progress, for example because its
     * deadline has passed. The attempt continues without the caller.
     */
    public AttemptDecision abandon(String reason) {
        if (mState.isFinal()) {
            throw new IllegalStateException(
                    "cannot abandon the request: it has already ended as " + mState);
        }
        mMayHaveRun |= mState == RequestState.DISPATCHING;
        return conclude(reason);
    }

    /** Returns whether the attempt in progress may be interrupted to make another one. */
    public boolean hasAttemptsLeft() {
        return mIdempotent && mAttempts < MAX_ATTEMPTS;
    }

    /** Returns the present state. */
    public RequestState state() {
        return mState;
    }

    /** Returns the number of attempts so far. */
    public int attempts() {
        return mAttempts;
    }

    /** Returns the hosts of the attempts so far. */
    public Set<String> triedHosts() {
        return Set.copyOf(mTriedHosts);
    }

    private boolean mayRetry(long remainingMillis, boolean otherHostExists) {
        return otherHostExists
                && remainingMillis > 0
                && mAttempts < MAX_ATTEMPTS
                && (mIdempotent || !mMayHaveRun);
    }

    /** Full jitter: uniform from 0 to the exponential bound, at most half of the remaining time. */
    private long backoffMillis(long remainingMillis, RandomGenerator random) {
        long bound = BACKOFF_BASE_MILLIS << (mAttempts - 1);
        return random.nextLong(Math.min(bound, remainingMillis / 2) + 1);
    }

    private AttemptDecision conclude(String reason) {
        mState = mMayHaveRun ? RequestState.UNKNOWN : RequestState.NOT_RUN;
        return mMayHaveRun
                ? new AttemptDecision.FinishUnknown(reason)
                : new AttemptDecision.FinishNotRun(reason);
    }

    private void requireState(RequestState expected) {
        if (mState != expected) {
            throw new IllegalStateException(
                    "the request is in state " + mState + "; this call requires " + expected);
        }
    }
}

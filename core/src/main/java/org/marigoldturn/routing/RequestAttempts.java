package org.marigoldturn.routing;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * The states of one request and the rules for its attempts.
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
        require(RequestState.QUEUED);
        if (mAttempts >= MAX_ATTEMPTS || (mMayHaveRun && !mIdempotent)) {
            throw new IllegalStateException(
                    "attempt %d to host %s is not allowed".formatted(mAttempts + 1, host));
        }
        if (mAttempts == 0) {
            mBudget.onRequest();
        }
        mAttempts++;
        mTriedHosts.add(host);
        mState = RequestState.DISPATCHING;
    }

    /** The target's answer is valid so far and is passed to the caller. */
    public void answered() {
        require(RequestState.DISPATCHING);
        mState = RequestState.ANSWERED;
    }

    /**
     * An attempt failed before anything was passed to the caller.
     *
     * @param remainingMillis time until the deadline of the request
     * @param otherHostExists whether a host that was not tried is eligible
     */
    public AttemptDecision failed(
            AttemptFailure failure,
            long remainingMillis,
            boolean otherHostExists,
            RandomGenerator random) {
        require(RequestState.DISPATCHING);
        mMayHaveRun |= failure.mayHaveRun();
        if (mayRetry(remainingMillis, otherHostExists) && mBudget.tryRetry()) {
            mState = RequestState.QUEUED;
            return new AttemptDecision.Retry(backoffMillis(remainingMillis, random));
        }
        String reason = failure.mayHaveRun() ? "target-failed" : "target-unavailable";
        return conclude(reason);
    }

    /**
     * Replaces an attempt that may have run, because it is late or its target answered with a
     * server error. Returns the delay of the next attempt in milliseconds, or empty if there is
     * none; the attempt in progress then goes on.
     */
    public OptionalLong tryReplace(
            long remainingMillis, boolean otherHostExists, RandomGenerator random) {
        require(RequestState.DISPATCHING);
        if (!mIdempotent || !mayRetry(remainingMillis, otherHostExists) || !mBudget.tryRetry()) {
            return OptionalLong.empty();
        }
        mMayHaveRun = true;
        mState = RequestState.QUEUED;
        return OptionalLong.of(backoffMillis(remainingMillis, random));
    }

    /**
     * Ends a request that waits or whose attempt goes on without the caller, for example because
     * its deadline has passed.
     */
    public AttemptDecision abandon(String reason) {
        if (mState.isFinal()) {
            throw new IllegalStateException("the request has already ended as " + mState);
        }
        mMayHaveRun |= mState == RequestState.DISPATCHING;
        return conclude(reason);
    }

    /** Returns whether an attempt made later may be cut short in favour of another one. */
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

    /** Full jitter: uniform between 0 and the exponential bound, within half of the time left. */
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

    private void require(RequestState expected) {
        if (mState != expected) {
            throw new IllegalStateException("expected state " + expected + ", not " + mState);
        }
    }
}

package org.marigoldturn.entry;

/**
 * Tracks the graceful shutdown of the caller port. The readiness check fails first. New requests
 * are refused only after a delay, so that the load balancer can stop sending them. Accepted
 * requests run to their end.
 *
 * <p>Invariant: once {@link #isDrained} has returned true, no request is accepted. Thread safe; the
 * current time is an argument.
 */
public final class DrainState {
    private final long mRefuseDelayMillis;
    private long mBegunAtMillis = -1;
    private int mActive;

    /**
     * Creates the state of a daemon that accepts requests.
     *
     * @param refuseDelayMillis time from the first failure of the readiness check to the refusal of
     *     new requests
     */
    public DrainState(long refuseDelayMillis) {
        if (refuseDelayMillis < 0) {
            throw new IllegalArgumentException(
                    "refuseDelayMillis must not be negative: " + refuseDelayMillis);
        }
        mRefuseDelayMillis = refuseDelayMillis;
    }

    /** Begins the shutdown; further calls have no effect. */
    public synchronized void begin(long nowMillis) {
        if (mBegunAtMillis < 0) {
            mBegunAtMillis = nowMillis;
        }
    }

    /** Returns whether the readiness check succeeds. */
    public synchronized boolean isReady() {
        return mBegunAtMillis < 0;
    }

    /** Counts a new request, or returns false if new requests are refused. */
    public synchronized boolean tryEnter(long nowMillis) {
        if (refuses(nowMillis)) {
            return false;
        }
        mActive++;
        return true;
    }

    /**
     * Counts the end of the response to a request that {@link #tryEnter} accepted.
     *
     * @throws IllegalStateException if no accepted request is left
     */
    public synchronized void leave() {
        if (mActive == 0) {
            throw new IllegalStateException(
                    "leave() without a matching tryEnter(): no request is active");
        }
        mActive--;
    }

    /** Returns the number of accepted requests whose response has not ended. */
    public synchronized int active() {
        return mActive;
    }

    /**
     * Returns whether new requests are refused and the responses to all accepted ones have ended.
     */
    public synchronized boolean isDrained(long nowMillis) {
        return refuses(nowMillis) && mActive == 0;
    }

    private boolean refuses(long nowMillis) {
        return mBegunAtMillis >= 0 && nowMillis - mBegunAtMillis >= mRefuseDelayMillis;
    }
}

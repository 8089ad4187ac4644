package org.marigoldturn.entry;

/**
 * Graceful shutdown of the caller port: readiness fails first; new requests are refused only after
 * the load balancer had time to notice; running ones end.
 *
 * <p>Invariant: once {@link #isDrained} returned true, no request is accepted. Thread safe; the
 * present time is an argument.
 */
public final class DrainState {
    private final long mRefuseDelayMillis;
    private long mBegunAtMillis = -1;
    private int mActive;

    /**
     * Creates the state of a daemon that serves.
     *
     * @param refuseDelayMillis time between failing readiness and refusing new requests
     */
    public DrainState(long refuseDelayMillis) {
        if (refuseDelayMillis < 0) {
            throw new IllegalArgumentException(
                    "refuseDelayMillis must not be negative, not " + refuseDelayMillis);
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

    /** Counts the end of a request that {@link #tryEnter} accepted. */
    public synchronized void leave() {
        if (mActive == 0) {
            throw new IllegalStateException("no request is active");
        }
        mActive--;
    }

    /** Returns the number of requests whose callers wait for an answer. */
    public synchronized int active() {
        return mActive;
    }

    /** Returns whether new requests are refused and all accepted ones were answered. */
    public synchronized boolean isDrained(long nowMillis) {
        return refuses(nowMillis) && mActive == 0;
    }

    private boolean refuses(long nowMillis) {
        return mBegunAtMillis >= 0 && nowMillis - mBegunAtMillis >= mRefuseDelayMillis;
    }
}

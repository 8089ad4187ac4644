package org.marigoldturn.routing;

/** State of a request that was accepted. */
public enum RequestState {
    /** The request waits; nothing of it was sent, or earlier attempts failed. */
    QUEUED(false),
    /** An attempt is in progress. */
    DISPATCHING(false),
    /** A target's answer is passed to the caller. */
    ANSWERED(true),
    /** The caller was told that the request may have run. */
    UNKNOWN(true),
    /** The caller was told that the request did not run. */
    NOT_RUN(true);

    private final boolean mFinal;

    RequestState(boolean isFinal) {
        mFinal = isFinal;
    }

    /** Returns whether no further attempt may follow. */
    public boolean isFinal() {
        return mFinal;
    }
}

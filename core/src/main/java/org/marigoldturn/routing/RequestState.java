package org.marigoldturn.routing;

/** State of an accepted request. */
public enum RequestState {
    /** The request waits for its first attempt, or for the next one after a failure. */
    QUEUED(false),
    /** An attempt is in progress. */
    DISPATCHING(false),
    /** A target's response is passed to the caller. */
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

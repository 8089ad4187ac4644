package org.marigoldturn.routing;

/** Kind of failure of an attempt, which decides whether the request may be retried. */
public enum AttemptFailure {
    /** No byte was sent, or the protocol or the target states that the request did not run. */
    NOT_PROCESSED(false),
    /** The target may have run the request, or may still be running it. */
    MAY_HAVE_RUN(true);

    private final boolean mMayHaveRun;

    AttemptFailure(boolean mayHaveRun) {
        mMayHaveRun = mayHaveRun;
    }

    /** Returns whether the request may have run. */
    public boolean mayHaveRun() {
        return mMayHaveRun;
    }
}

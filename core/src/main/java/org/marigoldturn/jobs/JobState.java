package org.marigoldturn.jobs;

/** State of a job, as reported to its client. */
public enum JobState {
    QUEUED(false),
    RUNNING(false),
    COMPLETED(true),
    FAILED(true),
    CANCELLED(true);

    private final boolean mFinal;

    JobState(boolean isFinal) {
        mFinal = isFinal;
    }

    /** Returns whether the state never changes again. */
    public boolean isFinal() {
        return mFinal;
    }
}

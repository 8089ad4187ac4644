package org.marigoldturn.scheduling;

import java.util.Locale;

/** What the owner concluded from the reported end of a run. */
public enum EndEffect {
    /** The task is done, and with it the other members of its gang. */
    DONE,
    /** The run counts as one more failed attempt of its task. */
    FAILED_ATTEMPT,
    /** The task is not done, and the run counts as no failed attempt. */
    NOT_DONE,
    /** The failed attempt was known already. */
    IGNORED_KNOWN_FAILURE,
    /** The task was done already. */
    IGNORED_TASK_DONE,
    /** The job had ended. */
    IGNORED_JOB_ENDED,
    /** No such job or task is known. */
    IGNORED_UNKNOWN_JOB,
    /** The target, or this incarnation of it, is no longer known. */
    IGNORED_UNKNOWN_TARGET;

    private final String mLogName = name().toLowerCase(Locale.ROOT).replace('_', '-');

    /** Returns the name as in log lines. */
    @Override
    public String toString() {
        return mLogName;
    }
}

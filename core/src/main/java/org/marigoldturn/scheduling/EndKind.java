package org.marigoldturn.scheduling;

/** How a run ended; constants are named as in logs and metrics. */
public enum EndKind {
    /** The task has finished its work. */
    DONE,
    /** The run failed, through a fault of its own or of the target. */
    FAILED,
    /** A stop order ended the run. */
    STOPPED,
    /** The target's lease expired. */
    LAPSED,
    /** Another member of the gang ended, so this one was ended too. */
    BROKEN,
    /** The other members of the gang did not start in time. */
    ALONE;

    /** Returns whether the end counts against the task's attempts. */
    public boolean countsAsAttempt() {
        return this == FAILED;
    }
}

package org.marigoldturn.scheduling;

/** How a run ended. */
public enum EndKind {
    /** The task has finished its work. */
    DONE,
    /** The run failed, by its own fault or the target's. */
    FAILED,
    /** It was stopped by an order. */
    STOPPED,
    /** The target's lease ended. */
    LAPSED,
    /** Another member of the gang ended. */
    BROKEN,
    /** The gang's other members did not come in time. */
    ALONE;

    /** Returns whether the end counts against the task's attempts. */
    public boolean countsAsAttempt() {
        return this == FAILED;
    }
}

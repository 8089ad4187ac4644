package org.marigoldturn.scheduling;

/** An order to a target, to be sent at once. */
public sealed interface Order {
    /** Returns the run that it is about. */
    Run run();

    /**
     * Starts a run.
     *
     * @param payload the job's text
     * @param checkpoint where to resume; empty for the beginning
     * @param ticket leave of the policy service; empty where it is not asked
     */
    record Start(Run run, String payload, String checkpoint, String ticket) implements Order {}

    /** Stops a run, also one that has not started yet. */
    record Stop(Run run) implements Order {}
}

package org.marigoldturn.scheduling;

/** Command to a target to start or stop a run, to be sent at once. */
public sealed interface Order {
    /** Returns the run to start or stop. */
    Run run();

    /**
     * Starts a run.
     *
     * @param payload payload of the job, passed to the task
     * @param checkpoint checkpoint to resume from; empty to start from the beginning
     * @param ticket permission of the policy service; empty if the queue has none
     */
    record Start(Run run, String payload, String checkpoint, String ticket) implements Order {}

    /** Stops a run; a run that has not started yet will not start. */
    record Stop(Run run) implements Order {}
}

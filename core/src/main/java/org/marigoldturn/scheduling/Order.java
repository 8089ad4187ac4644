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
     * @param history what the owner knew of the task before this start
     */
    record Start(Run run, String payload, String checkpoint, String ticket, History history)
            implements Order {}

    /**
     * What an owner knows of a task before it starts it.
     *
     * @param restored whether its job was read from the records of an earlier owner
     * @param earlierRun highest number of its runs; 0 if none is known
     */
    record History(boolean restored, long earlierRun) {}

    /** Stops a run; a run that has not started yet will not start. */
    record Stop(Run run) implements Order {}
}

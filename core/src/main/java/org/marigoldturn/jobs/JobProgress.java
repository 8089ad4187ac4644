package org.marigoldturn.jobs;

import java.util.List;

/**
 * What has happened to a job, as its durable record holds it. Immutable.
 *
 * @param state {@link JobState#RUNNING} until the job has ended
 * @param finishedEpochMillis time of day of the end; 0 before
 * @param tasks tasks about which more is known than that they were accepted
 */
public record JobProgress(JobState state, long finishedEpochMillis, List<TaskProgress> tasks) {
    /** Progress of a job of which nothing was recorded. */
    public static final JobProgress NONE = new JobProgress(JobState.RUNNING, 0, List.of());

    public JobProgress {
        tasks = List.copyOf(tasks);
    }

    /**
     * What has happened to one task.
     *
     * @param task the task
     * @param done whether a run of it ended as done
     * @param failedRuns runs that ended as failed
     * @param checkpoint newest checkpoint; empty for none
     */
    public record TaskProgress(TaskId task, boolean done, int failedRuns, String checkpoint) {}
}

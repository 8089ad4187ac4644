package org.marigoldturn.jobs;

import java.util.List;
import java.util.Set;

/**
 * Progress of a job, with the data of its durable record. Immutable.
 *
 * @param state {@link JobState#RUNNING} until the job has ended
 * @param finishedEpochMillis wall-clock time of the end; 0 while it has not ended
 * @param tasks progress of the tasks that are done, have failed runs or have a checkpoint
 */
public record JobProgress(JobState state, long finishedEpochMillis, List<TaskProgress> tasks) {
    /** Progress of a job without a progress record. */
    public static final JobProgress NONE = new JobProgress(JobState.RUNNING, 0, List.of());

    public JobProgress {
        tasks = List.copyOf(tasks);
    }

    /**
     * Progress of one task.
     *
     * @param task id of the task
     * @param done whether the task is done
     * @param failedRuns numbers of its runs that failed
     * @param checkpoint newest checkpoint; empty if there is none
     */
    public record TaskProgress(TaskId task, boolean done, Set<Long> failedRuns, String checkpoint) {
        public TaskProgress {
            failedRuns = Set.copyOf(failedRuns);
        }
    }
}

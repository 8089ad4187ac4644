package org.marigoldturn.jobs;

/**
 * Id of a task, the same for all its runs. Immutable.
 *
 * @param jobId id of the job
 * @param occurrence number of the occurrence of the job, from 0
 * @param step number of the step, from 0
 * @param index number of the task in its step, from 0
 */
public record TaskId(String jobId, int occurrence, int step, int index) {
    /** Returns the task's full name in log lines: all parts, separated by dots. */
    public String name() {
        return jobId + "." + occurrence + "." + step + "." + index;
    }
}

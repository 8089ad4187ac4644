package org.marigoldturn.scheduling;

import java.util.List;
import org.marigoldturn.jobs.TaskId;

/**
 * What a target says of its runs. Immutable.
 *
 * @param startedEpochMillis start of the life that answered
 * @param running what runs there
 * @param ends ends that were not noted before, in the order of their numbers
 * @param complete whether all ends are included
 */
public record TargetReport(
        long startedEpochMillis, List<RunReport> running, List<RunEnd> ends, boolean complete) {
    public TargetReport {
        running = List.copyOf(running);
        ends = List.copyOf(ends);
    }

    /**
     * One run that has not ended.
     *
     * @param task its task
     * @param run number of the run
     * @param checkpoint newest checkpoint; empty for none
     * @param percent progress; 100 once a lasting task is at work
     */
    public record RunReport(TaskId task, long run, String checkpoint, int percent) {}

    /**
     * One run that has ended.
     *
     * @param number number of the end in this life of the target, rising from 1
     * @param task its task
     * @param run number of the run
     * @param kind how it ended
     * @param checkpoint newest checkpoint; empty for none
     */
    public record RunEnd(long number, TaskId task, long run, EndKind kind, String checkpoint) {}
}

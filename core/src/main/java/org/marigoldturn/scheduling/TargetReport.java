package org.marigoldturn.scheduling;

import java.util.List;
import org.marigoldturn.jobs.TaskId;

/**
 * Response of a target to a poll: its running and its ended runs. Immutable.
 *
 * @param startedEpochMillis wall-clock start of the incarnation that responded
 * @param running runs that have not ended
 * @param ends ends that the owner has not yet confirmed as recorded, in the order of their numbers
 * @param complete whether the report lists all such ends
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
     * @param percent progress in percent; 100 once a long-running task is available
     */
    public record RunReport(TaskId task, long run, String checkpoint, int percent) {}

    /**
     * One run that has ended.
     *
     * @param number number of the end in this incarnation of the target, rising from 1
     * @param task its task
     * @param run number of the run
     * @param kind how it ended
     * @param checkpoint newest checkpoint; empty for none
     */
    public record RunEnd(long number, TaskId task, long run, EndKind kind, String checkpoint) {}
}

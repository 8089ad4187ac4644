package org.marigoldturn.scheduling;

import java.util.function.Function;
import org.marigoldturn.jobs.TaskId;

/**
 * A call of an owner to a target.
 *
 * @param targetId id of the target, which all its incarnations share
 * @param startedMillis start of the incarnation that the call was decided for
 * @param token fencing token
 * @param sentMillis when it was sent
 * @param start the run that it starts; null if it starts none
 * @param recordedEnd highest number of an end that it confirms; 0 if it confirms none
 * @param action what the target does
 */
record SimulatedCall<T>(
        long term,
        String targetId,
        long startedMillis,
        long token,
        long sentMillis,
        StartedRun start,
        long recordedEnd,
        Function<SimulatedTarget, T> action) {
    /** A run by its task and number. */
    record StartedRun(TaskId task, long number) {
        static StartedRun of(Run run) {
            return new StartedRun(run.task(), run.number());
        }
    }
}

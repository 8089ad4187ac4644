package org.marigoldturn.coordination;

import org.marigoldturn.jobs.TaskId;
import org.marigoldturn.scheduling.Run;
import org.marigoldturn.scheduling.StartOutcome;
import org.marigoldturn.scheduling.TargetReport;
import org.marigoldturn.scheduling.TargetState;
import org.tinylog.Logger;

/** Writes the log lines about the runs of tasks, from order to end. Stateless. */
final class RunLog {
    private RunLog() {}

    /** Logs an order, {@code start} or {@code stop}. */
    static void logOrder(String event, Run run) {
        Logger.info("run: event={} {}", event, describe(run));
    }

    /** Logs a response to a start order that does not accept it, or that there was none. */
    static void logStartResponse(Run run, StartOutcome outcome) {
        Logger.warn("run: event=start-answer {} outcome={}", describe(run), outcome);
    }

    /** Logs an end that a target has reported. */
    static void logEnd(TargetState target, TargetReport.RunEnd end) {
        Logger.info(
                "run: event=ended {} how={} end={}",
                describe(end.task(), end.run(), target),
                end.kind(),
                end.number());
    }

    private static String describe(Run run) {
        return describe(run.task(), run.number(), run.target());
    }

    /** Returns the fields that all lines about a run have in common. */
    static String describe(TaskId task, long run, TargetState target) {
        return "id="
                + task.jobId()
                + " task="
                + task.name()
                + " run="
                + run
                + " target="
                + target.entry().id();
    }
}

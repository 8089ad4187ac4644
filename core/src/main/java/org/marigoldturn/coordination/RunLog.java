package org.marigoldturn.coordination;

import org.marigoldturn.scheduling.Run;
import org.marigoldturn.scheduling.TargetReport;
import org.marigoldturn.scheduling.TargetState;
import org.tinylog.Logger;

/** Writes the log lines about the runs of tasks, from order to end. Stateless. */
final class RunLog {
    private RunLog() {}

    /** Logs an order, {@code start} or {@code stop}. */
    static void logOrder(String event, Run run) {
        Logger.info(
                "run: event={} id={} task={}.{}.{} run={} target={}",
                event,
                run.task().jobId(),
                run.task().occurrence(),
                run.task().step(),
                run.task().index(),
                run.number(),
                run.target().entry().id());
    }

    /** Logs an end that a target has reported. */
    static void logEnd(TargetState target, TargetReport.RunEnd end) {
        Logger.info(
                "run: event=ended id={} task={}.{}.{} run={} target={} how={} end={}",
                end.task().jobId(),
                end.task().occurrence(),
                end.task().step(),
                end.task().index(),
                end.run(),
                target.entry().id(),
                end.kind(),
                end.number());
    }
}

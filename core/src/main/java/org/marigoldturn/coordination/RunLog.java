package org.marigoldturn.coordination;

import java.util.List;
import org.marigoldturn.jobs.TaskId;
import org.marigoldturn.scheduling.EndedRuns;
import org.marigoldturn.scheduling.Order;
import org.marigoldturn.scheduling.ReportEffects;
import org.marigoldturn.scheduling.Run;
import org.marigoldturn.scheduling.StartOutcome;
import org.marigoldturn.scheduling.TargetState;
import org.tinylog.Logger;

/**
 * Writes the log lines of one owner about the runs of tasks, from order to end, within a budget.
 * Confined to the control thread.
 */
final class RunLog {
    /** Most lines in a second; further ones are left out and counted. */
    static final int LINES_PER_SECOND = 1_000;

    private final long mTerm;
    private final LogBudget mBudget = new LogBudget(LINES_PER_SECOND);

    RunLog(long term) {
        mTerm = term;
    }

    /**
     * Logs a start order and what the owner knew when it decided to send it.
     *
     * @param confirmedMillisAgo time since the ownership was last confirmed
     * @param unreadTargets number of targets of the service that have not reported to this owner
     */
    void logStart(Order.Start start, long confirmedMillisAgo, int unreadTargets, long nowMillis) {
        if (mayWrite(nowMillis)) {
            Logger.info(
                    "run: event=start {} term={} restored={} earlierRun={} confirmedMillisAgo={}"
                            + " unreadTargets={} born={}",
                    describe(start.run()),
                    mTerm,
                    start.history().restored(),
                    start.history().earlierRun(),
                    confirmedMillisAgo,
                    unreadTargets,
                    born(start.run().target()));
        }
    }

    void logStop(Run run, long nowMillis) {
        if (mayWrite(nowMillis)) {
            Logger.info("run: event=stop {} term={}", describe(run), mTerm);
        }
    }

    /**
     * Logs a response to a start order that does not accept it or comes after the end of the
     * incarnation that it was sent to, or that there was none.
     */
    void logStartResponse(Run run, StartOutcome outcome, long nowMillis) {
        if (mayWrite(nowMillis)) {
            Logger.warn(
                    "run: event=start-answer {} term={} outcome={} born={}",
                    describe(run),
                    mTerm,
                    outcome,
                    born(run.target()));
        }
    }

    /** Logs what the owner concluded from a target's report. */
    void logReport(TargetState target, ReportEffects effects, long nowMillis) {
        effects.ends().forEach(end -> logEnd(target, end, nowMillis));
        effects.unlistedRuns().forEach(run -> logUnlisted(run, nowMillis));
        effects.keptRuns().forEach(run -> logKept(run, nowMillis));
        effects.adoptedRuns().forEach(run -> logAdopted(run, nowMillis));
    }

    private void logEnd(TargetState target, ReportEffects.ProcessedEnd processed, long nowMillis) {
        if (mayWrite(nowMillis)) {
            Logger.info(
                    "run: event=ended {} term={} how={} end={} applied={} born={}",
                    describe(processed.end().task(), processed.end().run(), target),
                    mTerm,
                    processed.end().kind(),
                    processed.end().number(),
                    processed.effect(),
                    born(target));
        }
    }

    private void logUnlisted(Run run, long nowMillis) {
        if (mayWrite(nowMillis)) {
            Logger.info(
                    "run: event=unlisted {} term={} born={}",
                    describe(run),
                    mTerm,
                    born(run.target()));
        }
    }

    private void logKept(Run run, long nowMillis) {
        if (mayWrite(nowMillis)) {
            Logger.info("run: event=stop-withdrawn {} term={}", describe(run), mTerm);
        }
    }

    private void logAdopted(ReportEffects.AdoptedRun adopted, long nowMillis) {
        if (mayWrite(nowMillis)) {
            Logger.info(
                    "run: event=adopted {} term={} needed={} born={}",
                    describe(adopted.run()),
                    mTerm,
                    adopted.needed(),
                    born(adopted.run().target()));
        }
    }

    /** Logs the runs that are taken as ended without a report of their ends. */
    void logEndedRuns(List<EndedRuns> ended, long nowMillis) {
        for (EndedRuns runs : ended) {
            if (runs.cause() == EndedRuns.Cause.REPLACED) {
                Logger.info(describeReplaced(runs, runs.nextStartedEpochMillis(), "list"));
            }
            runs.runs().forEach(run -> logEndedRun(runs.cause(), run, nowMillis));
        }
    }

    private void logEndedRun(EndedRuns.Cause cause, EndedRuns.EndedRun ended, long nowMillis) {
        if (mayWrite(nowMillis)) {
            Logger.info(
                    "run: event=ended-with-target {} term={} cause={} phase={} listed={} born={}",
                    describe(ended.run()),
                    mTerm,
                    cause,
                    ended.phase(),
                    ended.listed(),
                    born(ended.run().target()));
        }
    }

    /**
     * Returns the line about an incarnation of a target that was replaced by a later one.
     *
     * @param seenIn what has shown the later one
     */
    static String describeReplaced(EndedRuns earlier, long startedEpochMillis, String seenIn) {
        return "target: event=replaced target="
                + earlier.target().entry().id()
                + " born="
                + startedEpochMillis
                + " earlierBorn="
                + born(earlier.target())
                + " seenIn="
                + seenIn
                + " runs="
                + earlier.runs().size()
                + " neverListed="
                + earlier.countNeverListed()
                + " abandoned="
                + earlier.abandoned();
    }

    /** Logs that a target is told that its ends up to the given number are stored. */
    void logEndsConfirmed(TargetState target, long upTo, long nowMillis) {
        if (mayWrite(nowMillis)) {
            Logger.info(
                    "target: event=ends-confirmed target={} term={} upTo={} born={}",
                    target.entry().id(),
                    mTerm,
                    upTo,
                    born(target));
        }
    }

    /** Logs how many lines were left out, once the second in which they were is over. */
    void reportLeftOut(long nowMillis) {
        long leftOut = mBudget.takeLeftOut(nowMillis);
        if (leftOut > 0) {
            Logger.warn("run: event=lines-left-out kind=run term={} count={}", mTerm, leftOut);
        }
    }

    /** Logs how many lines were left out since the last report. */
    void close(long nowMillis) {
        reportLeftOut(nowMillis + LogBudget.INTERVAL_MILLIS);
    }

    private boolean mayWrite(long nowMillis) {
        reportLeftOut(nowMillis);
        return mBudget.admit(nowMillis);
    }

    /** Returns the wall-clock start of an incarnation, which tells it from others of its target. */
    private static long born(TargetState target) {
        return target.entry().startedEpochMillis();
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

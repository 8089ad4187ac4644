package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;
import static org.marigoldturn.scheduling.SchedulerFixture.job;
import static org.marigoldturn.scheduling.SchedulerFixture.longRunning;
import static org.marigoldturn.scheduling.SchedulerFixture.step;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.marigoldturn.jobs.JobProgress;
import org.marigoldturn.jobs.JobState;
import org.marigoldturn.jobs.TaskId;

/** Guards against logs that do not tell what an owner knew of a task or did with an end. */
class ReportEffectsTest {
    private static final TaskId TASK = new TaskId("a", 0, 0, 0);

    private final SchedulerFixture mFixture = new SchedulerFixture(2);
    private final JobScheduler mScheduler = mFixture.mScheduler;
    private long mEnds;

    @Example
    void endIsAppliedOnceAndLaterOnesAreIgnored() {
        TargetState target = mFixture.addTarget("t1", 1_000);
        mFixture.accept(job("a", "account", step(1, 1_000), step(1, 1_000, 0)));
        Run run = mFixture.starts().get(0);

        assertThat(end(target, TASK, run.number(), EndKind.STOPPED)).isEqualTo(EndEffect.NOT_DONE);
        assertThat(end(target, TASK, run.number() + 1, EndKind.FAILED))
                .isEqualTo(EndEffect.FAILED_ATTEMPT);
        assertThat(end(target, TASK, run.number() + 1, EndKind.FAILED))
                .isEqualTo(EndEffect.IGNORED_KNOWN_FAILURE);
        assertThat(end(target, TASK, run.number() + 2, EndKind.DONE)).isEqualTo(EndEffect.DONE);
        assertThat(end(target, TASK, run.number() + 3, EndKind.DONE))
                .isEqualTo(EndEffect.IGNORED_TASK_DONE);
    }

    @Example
    void endsOfUnknownAndEndedJobsAndOfUnknownTargetsAreIgnored() {
        TargetState target = mFixture.addTarget("t1", 1_000);
        assertThat(end(target, TASK, 1, EndKind.DONE)).isEqualTo(EndEffect.IGNORED_UNKNOWN_JOB);

        mFixture.accept(job("a", "account", step(1, 1_000)));
        mScheduler.cancel("a", mFixture.mNowMillis);
        assertThat(end(target, TASK, 1, EndKind.DONE)).isEqualTo(EndEffect.IGNORED_JOB_ENDED);

        mScheduler.onTargetEnded(target, mFixture.mNowMillis);
        assertThat(end(target, TASK, 1, EndKind.DONE)).isEqualTo(EndEffect.IGNORED_UNKNOWN_TARGET);
    }

    @Example
    void endOfALongRunningTaskIsNeverItsCompletion() {
        TargetState target = mFixture.addTarget("t1", 1_000);
        mFixture.accept(job("a", "account", longRunning(1, 1_000, 1)));
        assertThat(end(target, TASK, 1, EndKind.DONE)).isEqualTo(EndEffect.NOT_DONE);
    }

    @Example
    void endThatIsReportedAgainHasNoEffect() {
        TargetState target = mFixture.addTarget("t1", 1_000);
        TargetReport.RunEnd end = new TargetReport.RunEnd(1, TASK, 1, EndKind.DONE, "");
        assertThat(report(target, List.of(end)).ends()).hasSize(1);
        assertThat(report(target, List.of(end)).ends()).isEmpty();
    }

    @Example
    void runThatACompleteReportDoesNotListIsNamed() {
        TargetState target = mFixture.addTarget("t1", 1_000);
        mFixture.accept(job("a", "account", step(1, 1_000)));
        List<Run> runs = mFixture.starts();
        mFixture.started(runs);
        assertThat(report(target, List.of()).unlistedRuns()).isEqualTo(runs);
    }

    @Example
    void runThatWasNotKnownIsNamedOnceAndWithWhetherItIsNeeded() {
        TargetState target = mFixture.addTarget("t1", 2_000);
        mFixture.accept(job("a", "account", step(1, 1_000)));
        TargetReport.RunReport needed = new TargetReport.RunReport(TASK, 3, "", 0);
        TargetReport.RunReport second = new TargetReport.RunReport(TASK, 4, "", 0);

        assertThat(reportRunning(target, needed, second).adoptedRuns())
                .extracting(adopted -> adopted.run().number(), ReportEffects.AdoptedRun::needed)
                .containsExactly(tuple(3L, true), tuple(4L, false));
        assertThat(reportRunning(target, needed, second).adoptedRuns()).isEmpty();
    }

    @Example
    void startTellsWhatTheOwnerKnewOfTheTask() {
        JobProgress.TaskProgress failedOnce =
                new JobProgress.TaskProgress(TASK, false, Set.of(7L), "");
        mScheduler.restore(
                job("a", "account", step(1, 1_000)),
                new JobProgress(JobState.RUNNING, 0, List.of(failedOnce)),
                mFixture.mNowMillis);
        mFixture.addTarget("t1", 1_000);
        mFixture.addTarget("t2", 1_000);
        assertThat(mFixture.accept(job("b", "account", step(1, 1_000))).accepted()).isTrue();

        assertThat(mScheduler.decide(mFixture.mNowMillis, mFixture.mNowMillis))
                .extracting(order -> ((Order.Start) order).history())
                .containsExactly(new Order.History(true, 7), new Order.History(false, 0));
    }

    @Example
    void targetsThatHaveNotReportedAreCountedForTheirService() {
        mFixture.addTarget("read", 1_000);
        mScheduler.onTargetListed(SchedulerFixture.entry("unread", 1, 1_000), 0);
        assertThat(mScheduler.countUnreadTargets("service")).isEqualTo(1);
        assertThat(mScheduler.countUnreadTargets("other")).isZero();
    }

    private EndEffect end(TargetState target, TaskId task, long run, EndKind kind) {
        TargetReport.RunEnd end = new TargetReport.RunEnd(++mEnds, task, run, kind, "");
        return report(target, List.of(end)).ends().get(0).effect();
    }

    private ReportEffects reportRunning(TargetState target, TargetReport.RunReport... running) {
        mFixture.mNowMillis++;
        return mScheduler.onReport(
                target,
                new TargetReport(
                        target.entry().startedEpochMillis(), List.of(running), List.of(), true),
                mFixture.mNowMillis,
                mFixture.mNowMillis,
                mFixture.mNowMillis);
    }

    private ReportEffects report(TargetState target, List<TargetReport.RunEnd> ends) {
        mFixture.mNowMillis++;
        return mScheduler.onReport(
                target,
                new TargetReport(target.entry().startedEpochMillis(), List.of(), ends, true),
                mFixture.mNowMillis,
                mFixture.mNowMillis,
                mFixture.mNowMillis);
    }
}

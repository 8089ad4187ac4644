package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldturn.scheduling.SchedulerFixture.gang;
import static org.marigoldturn.scheduling.SchedulerFixture.job;
import static org.marigoldturn.scheduling.SchedulerFixture.longRunning;
import static org.marigoldturn.scheduling.SchedulerFixture.step;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.marigoldturn.jobs.AccountSettings;
import org.marigoldturn.jobs.JobProgress;
import org.marigoldturn.jobs.JobState;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.TaskId;

/** Checks the scheduling rules of jobs without any transport. */
class JobSchedulerTest {
    private final SchedulerFixture mFixture = new SchedulerFixture();

    /**
     * Targets whose entries expired while the store was unavailable may still run tasks of the
     * restored job.
     */
    @Example
    void restoredJobWaitsUntilExpiredEntriesAreBack() {
        SchedulerFixture fixture = new SchedulerFixture(2);
        fixture.mScheduler.holdRestoredJobsUntil(fixture.mNowMillis + 2_500);
        fixture.mScheduler.restore(
                SchedulerFixture.job("j1", "account", SchedulerFixture.step(1, 1_000)),
                JobProgress.NONE,
                fixture.mNowMillis);
        fixture.addTarget("t1", 4_000);
        fixture.accept(SchedulerFixture.job("j2", "account", SchedulerFixture.step(1, 1_000)));
        assertThat(fixture.starts()).extracting(run -> run.task().jobId()).containsExactly("j2");
        fixture.mNowMillis += 2_500;
        assertThat(fixture.starts()).extracting(run -> run.task().jobId()).containsExactly("j1");
    }

    /**
     * A response to a repeated stop order must not delay the removal of the run: a long poll takes
     * longer than the interval at which stop orders are repeated.
     */
    @Example
    void reportPolledAfterTheFirstStopResponseRemovesARunEvenIfTheStopIsRepeated() {
        TargetState target = mFixture.addTarget("t1", 4_000);
        mFixture.accept(SchedulerFixture.job("j1", "account", SchedulerFixture.step(1, 1_000)));
        Run run = mFixture.starts().get(0);
        mFixture.mScheduler.onStartResponse(run, StartOutcome.UNKNOWN, mFixture.mNowMillis);
        mFixture.mNowMillis += 500;
        assertThat(mFixture.stops()).containsExactly(run);
        mFixture.mScheduler.onStopResponse(run, true, mFixture.mNowMillis);
        long pollSentMillis = mFixture.mNowMillis + 1;
        mFixture.mNowMillis += 500;
        assertThat(mFixture.stops()).containsExactly(run);
        mFixture.mScheduler.onStopResponse(run, true, mFixture.mNowMillis);
        mFixture.mNowMillis += 500;
        mFixture.mScheduler.onReport(
                target,
                new TargetReport(target.entry().startedEpochMillis(), List.of(), List.of(), true),
                pollSentMillis,
                mFixture.mNowMillis,
                mFixture.mNowMillis);
        assertThat(mFixture.starts()).hasSize(1);
    }

    @Example
    void stepStartsOnlyAfterEarlierStepsAreDone() {
        mFixture.addTarget("t1", 8_000);
        mFixture.accept(job("a", "account", step(2, 1_000), step(1, 1_000, 0)));

        List<Run> first = mFixture.starts();
        mFixture.started(first);
        mFixture.end(first.get(0), EndKind.DONE);
        assertThat(first).hasSize(2);
        assertThat(mFixture.starts()).isEmpty();

        mFixture.end(first.get(1), EndKind.DONE);
        List<Run> second = mFixture.starts();
        assertThat(second).singleElement().extracting(run -> run.task().step()).isEqualTo(1);
        mFixture.started(second);
        mFixture.end(second.get(0), EndKind.DONE);
        assertThat(mFixture.mScheduler.state("a")).contains(JobState.COMPLETED);
    }

    @Example
    void capacityIsNeverExceededEvenWhileRunsAreBeingStopped() {
        mFixture.addTarget("t1", 2_000);
        mFixture.accept(job("a", "", step(2, 1_000)));
        List<Run> runs = mFixture.starts();
        mFixture.started(runs);
        mFixture.mScheduler.cancel("a", 0);
        mFixture.accept(job("b", "", step(1, 1_000)));

        assertThat(mFixture.starts()).isEmpty();
        mFixture.end(runs.get(0), EndKind.STOPPED);
        assertThat(mFixture.starts()).hasSize(1);
    }

    @Example
    void jobFailsAfterItsLastAttemptAndOtherEndsDoNotCount() {
        mFixture.addTarget("t1", 8_000);
        mFixture.accept(job("a", "account", step(1, 1_000)));
        for (EndKind kind : List.of(EndKind.LAPSED, EndKind.FAILED, EndKind.STOPPED)) {
            List<Run> runs = mFixture.starts();
            mFixture.started(runs);
            mFixture.end(runs.get(0), kind);
        }
        assertThat(mFixture.mScheduler.state("a")).contains(JobState.RUNNING);
        List<Run> last = mFixture.starts();
        mFixture.started(last);
        mFixture.end(last.get(0), EndKind.FAILED);
        assertThat(mFixture.mScheduler.state("a")).contains(JobState.FAILED);
        assertThat(mFixture.starts()).isEmpty();
    }

    @Example
    void runNumbersRiseFromOwnerToOwner() {
        SchedulerFixture second = new SchedulerFixture(2);
        mFixture.addTarget("t1", 8_000);
        second.addTarget("t1", 8_000);
        mFixture.accept(job("a", "account", step(1, 1_000)));
        second.accept(job("a", "account", step(1, 1_000)));

        long first = mFixture.starts().get(0).number();
        assertThat(first).isEqualTo(1);
        assertThat(second.starts().get(0).number()).isGreaterThan(first);
    }

    @Example
    void startWithoutResponseIsRepeatedElsewhereOnlyOnceAReportAfterAStopResponseLacksTheRun() {
        TargetState t1 = mFixture.addTarget("t1", 1_000);
        mFixture.accept(job("a", "account", step(1, 1_000)));
        Run lost = mFixture.starts().get(0);
        mFixture.addTarget("t2", 1_000);
        mFixture.mScheduler.onStartResponse(lost, StartOutcome.UNKNOWN, mFixture.mNowMillis);

        mFixture.report(t1, List.of());
        assertThat(mFixture.stops()).containsExactly(lost);
        mFixture.report(t1, List.of());
        assertThat(mFixture.starts()).isEmpty();

        mFixture.mScheduler.onStopResponse(lost, true, mFixture.mNowMillis);
        mFixture.report(t1, List.of());
        assertThat(mFixture.starts()).hasSize(1);
    }

    @Example
    void startWithoutResponseIsRepeatedElsewhereAfterTheLeaseHasExpired() {
        TargetState t1 = mFixture.addTarget("t1", 1_000);
        mFixture.accept(job("a", "account", step(1, 1_000)));
        Run lost = mFixture.starts().get(0);
        mFixture.addTarget("t2", 1_000);
        mFixture.mScheduler.onStartResponse(lost, StartOutcome.UNKNOWN, mFixture.mNowMillis);
        t1.extendLease(mFixture.mNowMillis + 4_000);
        t1.setReachable(false);

        mFixture.mNowMillis += 4_000;
        mFixture.mScheduler.expireLeases(mFixture.mNowMillis);
        assertThat(mFixture.starts()).isEmpty();
        mFixture.mNowMillis += 1;
        mFixture.mScheduler.expireLeases(mFixture.mNowMillis);
        assertThat(mFixture.starts()).hasSize(1);
        assertThat(t1.abandonedRuns()).containsExactly(lost);
    }

    @Example
    void newOwnerKeepsRunningTasksAndWaitsForTargetsThatHaveNotReported() {
        SchedulerFixture owner = new SchedulerFixture(2);
        owner.mScheduler.restore(
                job("a", "account", step(2, 1_000)), JobProgress.NONE, owner.mNowMillis);
        TargetState reported = owner.addTarget("t1", 8_000);
        TargetState unreported =
                owner.mScheduler.onTargetListed(
                        SchedulerFixture.entry("t2", 1, 8_000), owner.mNowMillis);
        owner.report(
                reported, List.of(new TargetReport.RunReport(new TaskId("a", 0, 0, 0), 1, "", 10)));
        assertThat(owner.starts()).isEmpty();

        unreported.setReachable(true);
        owner.report(unreported, List.of());
        assertThat(owner.starts())
                .singleElement()
                .extracting(run -> run.task().index())
                .isEqualTo(1);
    }

    @Example
    void newOwnerWaitsNoLongerThanTheLongestLeaseForATargetThatHasNotReported() {
        SchedulerFixture owner = new SchedulerFixture(2);
        owner.mScheduler.restore(
                job("a", "account", step(1, 1_000)), JobProgress.NONE, owner.mNowMillis);
        owner.addTarget("t1", 8_000);
        owner.mScheduler.onTargetListed(SchedulerFixture.entry("t2", 1, 8_000), owner.mNowMillis);
        assertThat(owner.starts()).isEmpty();
        owner.mNowMillis += SchedulerFixture.LONGEST_LEASE_MILLIS;
        assertThat(owner.starts()).hasSize(1);
    }

    @Example
    void newOwnerKeepsTheRunsOfARecordedTargetThatIsNotListed() {
        SchedulerFixture owner = new SchedulerFixture(2);
        owner.mScheduler.restore(
                job("a", "account", step(2, 1_000)), JobProgress.NONE, owner.mNowMillis);
        TargetState unlisted =
                owner.mScheduler.restoreTarget(
                        SchedulerFixture.entry("t2", 1, 8_000), owner.mNowMillis);
        owner.addTarget("t1", 8_000);
        assertThat(owner.starts()).isEmpty();

        unlisted.setReachable(true);
        owner.report(
                unlisted, List.of(new TargetReport.RunReport(new TaskId("a", 0, 0, 0), 1, "", 10)));
        List<Run> starts = owner.starts();
        assertThat(starts).extracting(run -> run.task().index()).containsExactly(1);
        assertThat(starts.get(0).target().entry().id()).isEqualTo("t1");
    }

    @Example
    void newOwnerForgetsARecordedTargetThatIsNeitherListedNorReached() {
        SchedulerFixture owner = new SchedulerFixture(2);
        owner.mScheduler.restore(
                job("a", "account", step(1, 1_000)), JobProgress.NONE, owner.mNowMillis);
        owner.mScheduler.restoreTarget(SchedulerFixture.entry("t2", 1, 8_000), owner.mNowMillis);
        owner.addTarget("t1", 8_000);
        owner.mScheduler.expireLeases(owner.mNowMillis);
        assertThat(owner.starts()).isEmpty();

        owner.mNowMillis += SchedulerFixture.LONGEST_LEASE_MILLIS;
        owner.mScheduler.expireLeases(owner.mNowMillis);
        assertThat(owner.mScheduler.targets())
                .extracting(target -> target.entry().id())
                .containsExactly("t1");
        assertThat(owner.starts()).hasSize(1);
    }

    @Example
    void endThatIsListedTwiceChangesNothing() {
        TargetState target = mFixture.addTarget("t1", 8_000);
        mFixture.accept(job("a", "account", step(1, 1_000)));
        Run run = mFixture.starts().get(0);
        mFixture.started(List.of(run));
        TargetReport report =
                new TargetReport(
                        1,
                        List.of(),
                        List.of(
                                new TargetReport.RunEnd(
                                        1, run.task(), run.number(), EndKind.FAILED, "")),
                        true);
        long now = mFixture.mNowMillis;
        mFixture.mScheduler.onReport(target, report, now, now, now);
        mFixture.mScheduler.onReport(target, report, now, now, now);
        assertThat(mFixture.mScheduler.state("a")).contains(JobState.RUNNING);
    }

    @Example
    void accountLimitAppliesToAllRunsIncludingThoseBeingStopped() {
        mFixture.mScheduler.setCatalog(
                SchedulerFixture.catalog(
                        new AccountSettings(
                                "account", Set.of(), 1, new ResourceAmounts(2_000, 0, 0))));
        mFixture.addTarget("t1", 16_000);
        mFixture.accept(job("a", "account", step(2, 1_000)));
        mFixture.accept(job("b", "account", step(2, 1_000)));
        List<Run> runs = mFixture.starts();
        assertThat(runs).hasSize(2);
        mFixture.started(runs);
        mFixture.mScheduler.cancel("a", 0);
        assertThat(mFixture.starts()).isEmpty();
        mFixture.end(runs.get(0), EndKind.STOPPED);
        assertThat(mFixture.starts()).hasSize(1);
    }

    @Example
    void gangStartsWithAllMembersOrNotAtAll() {
        mFixture.addTarget("t1", 2_000);
        mFixture.accept(job("a", "account", gang(3, 1_000)));
        assertThat(mFixture.starts()).isEmpty();
        mFixture.addTarget("t2", 1_000);
        List<Run> members = mFixture.starts();
        assertThat(members).hasSize(3).extracting(Run::number).containsOnly(1L);
        mFixture.started(members);
        mFixture.end(members.get(0), EndKind.DONE);
        assertThat(mFixture.mScheduler.state("a")).contains(JobState.COMPLETED);
    }

    @Example
    void longRunningTaskRestartsHoweverItEnds() {
        mFixture.addTarget("t1", 8_000);
        mFixture.accept(job("a", "", longRunning(1, 1_000, 1)));
        for (EndKind kind : EndKind.values()) {
            List<Run> runs = mFixture.starts();
            assertThat(runs).hasSize(1);
            mFixture.started(runs);
            mFixture.end(runs.get(0), kind);
        }
        assertThat(mFixture.starts()).hasSize(1);
    }

    @Example
    void capacityIsHeldBackForALongRunningTaskInAFullPool() {
        mFixture.addTarget("t1", 3_000);
        mFixture.accept(job("a", "", step(3, 1_000)));
        List<Run> small = mFixture.starts();
        mFixture.started(small);
        mFixture.accept(job("lasting", "", longRunning(1, 2_000, 1)));
        mFixture.accept(job("b", "", step(3, 1_000)));
        mFixture.end(small.get(0), EndKind.DONE);
        assertThat(mFixture.starts()).isEmpty();
        mFixture.end(small.get(1), EndKind.DONE);
        assertThat(mFixture.starts())
                .singleElement()
                .extracting(run -> run.task().jobId())
                .isEqualTo("lasting");
    }

    @Example
    void budgetCountsTasksWhoseInterruptionIsAlreadyOrdered() {
        TargetState t1 = mFixture.addTarget("t1", 8_000);
        TargetState t2 = mFixture.addTarget("t2", 8_000);
        mFixture.accept(job("a", "", longRunning(2, 1_000, 1)));
        mFixture.started(mFixture.starts());
        mFixture.report(t1);
        mFixture.report(t2);
        assertThat(mFixture.mScheduler.interruptions().mayInterrupt(t1)).isTrue();

        t1.setInterrupted(true);
        assertThat(mFixture.mScheduler.interruptions().mayInterrupt(t2)).isFalse();
        t1.setInterrupted(false);
        assertThat(mFixture.mScheduler.interruptions().mayInterrupt(t2)).isTrue();
    }

    @Example
    void oneOfTwoLongRunningTasksOnATargetIsRelocatedWithinTheBudget() {
        TargetState t1 = mFixture.addTarget("t1", 8_000);
        mFixture.accept(job("a", "", SchedulerFixture.longRunningWithoutSpread(2, 1_000, 1)));
        mFixture.started(mFixture.starts());
        mFixture.report(t1);
        assertThat(mFixture.mScheduler.interruptions().mayInterrupt(t1)).isFalse();

        TargetState t2 = mFixture.addTarget("t2", 8_000);
        t1.setCordoned(true);
        Run moved =
                mFixture.mScheduler
                        .interruptions()
                        .relocateOne(t1, mFixture.mNowMillis)
                        .orElseThrow();
        assertThat(mFixture.mScheduler.interruptions().relocateOne(t1, mFixture.mNowMillis))
                .isEmpty();
        assertThat(mFixture.stops()).containsExactly(moved);
        mFixture.end(moved, EndKind.STOPPED);
        List<Run> again = mFixture.starts();
        assertThat(again).singleElement().extracting(Run::target).isEqualTo(t2);
        assertThat(mFixture.mScheduler.interruptions().mayInterrupt(t1)).isFalse();
        mFixture.started(again);
        mFixture.report(t2);
        assertThat(mFixture.mScheduler.interruptions().mayInterrupt(t1)).isTrue();
    }

    @Example
    void noTaskStartsInAClosedZone() {
        mFixture.addTarget("t1", 8_000);
        mFixture.accept(job("a", "account", longRunning(1, 1_000, 1)));
        mFixture.mScheduler.setClosedZones(Set.of("zone"));
        assertThat(mFixture.starts()).isEmpty();
        mFixture.mScheduler.setClosedZones(Set.of());
        assertThat(mFixture.starts()).hasSize(1);
    }

    @Example
    void unknownRunOnATargetIsStopped() {
        TargetState target = mFixture.addTarget("t1", 8_000);
        mFixture.report(
                target,
                List.of(new TargetReport.RunReport(new TaskId("ghost", 0, 0, 0), 3, "", 10)));
        assertThat(mFixture.stops()).hasSize(1);
    }
}

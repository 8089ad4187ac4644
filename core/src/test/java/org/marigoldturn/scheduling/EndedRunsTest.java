package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;
import static org.marigoldturn.scheduling.SchedulerFixture.entry;
import static org.marigoldturn.scheduling.SchedulerFixture.job;
import static org.marigoldturn.scheduling.SchedulerFixture.step;

import java.util.List;
import net.jqwik.api.Example;

/** Guards against runs that end with their target without a trace in the log. */
class EndedRunsTest {
    private final SchedulerFixture mFixture = new SchedulerFixture(2);
    private final JobScheduler mScheduler = mFixture.mScheduler;
    private final TargetState mTarget = mFixture.addTarget("t1", 3_000);

    @Example
    void runsOfAReplacedIncarnationAreNamedWithWhatWasKnownOfThem() {
        startRuns();

        mScheduler.onTargetListed(entry("t1", 2, 3_000), mFixture.mNowMillis);

        EndedRuns ended = onlyEnded();
        assertThat(ended.target()).isSameAs(mTarget);
        assertThat(ended.cause()).isEqualTo(EndedRuns.Cause.REPLACED);
        assertThat(ended.nextStartedEpochMillis()).isEqualTo(2);
        assertThat(ended.countNeverListed()).isEqualTo(2);
        assertThat(ended.runs())
                .extracting(EndedRuns.EndedRun::phase, EndedRuns.EndedRun::listed)
                .containsExactlyInAnyOrder(
                        tuple("RUNNING", true), tuple("RUNNING", false), tuple("UNCERTAIN", false));
        assertThat(mScheduler.takeEndedRuns()).isEmpty();
    }

    @Example
    void newEntryOfTheSameIncarnationEndsNothing() {
        startRuns();
        mScheduler.onTargetListed(entry("t1", 1, 2_500), mFixture.mNowMillis);
        assertThat(mScheduler.takeEndedRuns()).isEmpty();
    }

    @Example
    void runsOfAnIncarnationThatHasEndedAreNamed() {
        startRuns();
        mScheduler.onTargetEnded(mTarget, mFixture.mNowMillis);
        assertThat(onlyEnded().cause()).isEqualTo(EndedRuns.Cause.ENDED);
    }

    @Example
    void runsWhoseLeaseHasExpiredAreNamedOnceAndCountedAsAbandoned() {
        startRuns();
        mTarget.extendLease(mFixture.mNowMillis + 1);
        mTarget.setReachable(false);
        mFixture.mNowMillis += 10;
        mScheduler.setOwnership(true, mFixture.mNowMillis);

        mScheduler.expireLeases(mFixture.mNowMillis);

        EndedRuns ended = onlyEnded();
        assertThat(ended.cause()).isEqualTo(EndedRuns.Cause.LEASE_EXPIRED);
        assertThat(ended.runs()).hasSize(3);
        mScheduler.expireLeases(mFixture.mNowMillis);
        assertThat(mScheduler.takeEndedRuns()).isEmpty();
        mScheduler.onTargetListed(entry("t1", 2, 3_000), mFixture.mNowMillis);
        assertThat(onlyEnded().abandoned()).isEqualTo(1);
    }

    /** Starts a run that is listed, one that is accepted and one without a response. */
    private void startRuns() {
        mFixture.accept(job("a", "account", step(3, 1_000)));
        List<Run> runs = mFixture.starts();
        mScheduler.onStartResponse(runs.get(0), StartOutcome.ACCEPTED, mFixture.mNowMillis);
        mScheduler.onStartResponse(runs.get(1), StartOutcome.ACCEPTED, mFixture.mNowMillis);
        mScheduler.onStartResponse(runs.get(2), StartOutcome.UNKNOWN, mFixture.mNowMillis);
        TargetReport.RunReport listed =
                new TargetReport.RunReport(runs.get(0).task(), runs.get(0).number(), "", 0);
        mScheduler.onReport(
                mTarget,
                new TargetReport(1, List.of(listed), List.of(), true),
                mFixture.mNowMillis,
                mFixture.mNowMillis,
                mFixture.mNowMillis);
    }

    private EndedRuns onlyEnded() {
        List<EndedRuns> ended = mScheduler.takeEndedRuns();
        assertThat(ended).hasSize(1);
        return ended.get(0);
    }
}

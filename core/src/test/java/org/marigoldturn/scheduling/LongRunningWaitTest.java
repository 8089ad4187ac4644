package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldturn.scheduling.SchedulerFixture.job;
import static org.marigoldturn.scheduling.SchedulerFixture.longRunning;
import static org.marigoldturn.scheduling.SchedulerFixture.longRunningWithoutSpread;
import static org.marigoldturn.scheduling.SchedulerFixture.step;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobProgress;
import org.marigoldturn.jobs.ResourceAmounts;

/**
 * Checks that a long-running task that is not running starts within the platform's bound while a
 * target of its service has room for it.
 */
class LongRunningWaitTest {
    /** Time after its last run within which a long-running task has to run again. */
    private static final long LONGEST_WAIT_MILLIS = 6_000;

    private static final long PASS_INTERVAL_MILLIS = 100;

    /** Longest lease of a target, and how long an owner that was replaced may act. */
    private static final long EARLIER_OWNER_MILLIS = 8_160;

    private final SchedulerFixture mFixture = new SchedulerFixture();

    /** Guards against long-running tasks that never use the free hosts on loan. */
    @Example
    void aTaskStartsOnAHostOnLoanWhileLongRunningTasksFillTheOtherTargets() {
        TargetState full = mFixture.addTarget("full", 8_000);
        accept(job("first", "", longRunning(1, 7_000, 1)));
        startAll();
        addLoanedTarget();

        accept(job("waiting", "", longRunning(1, 3_000, 1)));
        assertThat(full.isIdle()).isFalse();
        assertStartsInTime("waiting");
    }

    /** Guards against long-running tasks that wait for short runs beside free hosts on loan. */
    @Example
    void aTaskStartsOnAHostOnLoanWhileTheRunsOfTheOtherTargetsDoNotEnd() {
        mFixture.addTarget("busy", 8_000);
        accept(job("first", "", step(1, 7_000)));
        startAll();
        addLoanedTarget();

        accept(job("waiting", "", longRunning(1, 3_000, 1)));
        assertStartsInTime("waiting");
    }

    /** Guards against a large long-running task that keeps smaller ones from free capacity. */
    @Example
    void aTaskThatFitsStartsWhileALargerLongRunningOneWaitsForRuns() {
        mFixture.addTarget("t", 32_000);
        accept(job("short", "", step(1, 17_000)));
        startAll();
        accept(job("large", "", longRunning(1, 28_000, 1)));
        assertThat(startedJobs()).isEmpty();

        accept(job("waiting", "", longRunning(1, 3_000, 1)));
        assertStartsInTime("waiting");
    }

    /** Guards against failures of tasks that keep a target without other faults unused. */
    @Example
    void aTaskStartsAgainAfterLongRunningTasksHaveFailedNowAndThen() {
        TargetState target = mFixture.addTarget("t", 16_000);
        accept(job("first", "", longRunning(1, 3_000, 1)));
        accept(job("second", "", longRunning(1, 3_000, 1)));
        startAll();
        for (int i = 0; i < 4; i++) {
            failAndStartAgain(target, "first");
            failAndStartAgain(target, "second");
        }
    }

    private void failAndStartAgain(TargetState target, String jobId) {
        mFixture.mNowMillis += 60_000;
        for (Run run : target.runs()) {
            if (run.task().jobId().equals(jobId)) {
                mFixture.end(run, EndKind.FAILED);
            }
        }
        assertStartsInTime(jobId);
    }

    /** Guards against the only target with room that stays paused long after its last failure. */
    @Example
    void aTaskStartsSoonAfterShortTasksHaveFailedOnTheOnlyTargetWithRoom() {
        mFixture.addTarget("t", 16_000);
        accept(job("waiting", "", longRunning(1, 3_000, 1)));
        for (int i = 0; i < 8; i++) {
            accept(job("failing" + i, "", step(1, 1_000)));
        }
        List<Run> runs = mFixture.starts();
        assertThat(runs).hasSize(9);
        mFixture.started(runs);
        runs.forEach(run -> mFixture.end(run, EndKind.FAILED));

        assertStartsInTime("waiting");
    }

    /** Guards against a task that is stopped for maintenance and then has no place to run. */
    @Example
    void aTaskThatIsStoppedForMaintenanceStartsAgain() {
        TargetState target = mFixture.addTarget("t0", 16_000);
        accept(job("waiting", "", longRunningWithoutSpread(2, 5_000, 1)));
        startAll();
        TargetState other = mFixture.addTarget("t1", 8_000);
        accept(job("other", "", longRunning(1, 7_000, 1)));
        startAll();
        mFixture.report(target);
        assertThat(other.isIdle()).isFalse();

        target.setCordoned(true);
        assertThat(mFixture.mScheduler.interruptions().mayInterrupt(target)).isFalse();
        mFixture.mScheduler
                .interruptions()
                .relocateOne(target, mFixture.mNowMillis)
                .ifPresent(
                        run -> {
                            mFixture.end(run, EndKind.STOPPED);
                            assertStartsInTime("waiting");
                        });
    }

    /** Guards against restored tasks that wait for a target on which none can have been started. */
    @Example
    void aRestoredTaskStartsBesideAListedTargetWithoutARecord() {
        RestoredFixture restored = new RestoredFixture();
        restored.mScheduler.onTargetListed(entry("unread", 1, "host-unread"), 0);
        assertThat(restored.millisUntilStart()).isLessThanOrEqualTo(LONGEST_WAIT_MILLIS);
    }

    /** Guards against restored tasks that wait for a target whose host runs a later one. */
    @Example
    void aRestoredTaskStartsOnceTheHostOfAnUnreadTargetRunsALaterOne() {
        RestoredFixture restored = new RestoredFixture();
        restored.mScheduler.restoreTarget(entry("unread", 1, "host"), 0);
        restored.addTarget(entry("later", 2, "host"));
        assertThat(restored.millisUntilStart()).isLessThanOrEqualTo(LONGEST_WAIT_MILLIS);
    }

    /** A new owner that has restored a job with one long-running task and has read one target. */
    private static final class RestoredFixture {
        private final JobScheduler mScheduler =
                new JobScheduler(
                        SchedulerFixture.catalog(SchedulerFixture.ACCOUNT),
                        2,
                        0,
                        EARLIER_OWNER_MILLIS,
                        EARLIER_OWNER_MILLIS);

        RestoredFixture() {
            mScheduler.setOwnership(true, Long.MAX_VALUE);
            mScheduler.setTargetRecordsComplete(true);
            mScheduler.restore(job("restored", "", longRunning(1, 3_000, 1)), JobProgress.NONE, 0);
            addTarget(entry("read", 1, "host-read"));
        }

        void addTarget(TargetEntry entry) {
            mScheduler.restoreTarget(entry, 0);
            TargetState target = mScheduler.onTargetListed(entry, 0);
            target.setRecorded(true);
            target.setReachable(true);
            TargetReport report =
                    new TargetReport(entry.startedEpochMillis(), List.of(), List.of(), true);
            mScheduler.onReport(target, report, 0, 0, 0);
        }

        long millisUntilStart() {
            for (long now = 0; now < 10 * LONGEST_WAIT_MILLIS; now += PASS_INTERVAL_MILLIS) {
                mScheduler.expireLeases(now);
                if (!mScheduler.decide(now, now).isEmpty()) {
                    return now;
                }
            }
            return Long.MAX_VALUE;
        }
    }

    private static TargetEntry entry(String id, long startedMillis, String hostId) {
        return new TargetEntry(
                id,
                startedMillis,
                hostId,
                "service",
                "address-" + id,
                "zone",
                "rack",
                Set.of(),
                new ResourceAmounts(8_000, 10_000, 0),
                false);
    }

    private void addLoanedTarget() {
        mFixture.addTarget("loaned", 8_000).setLoaned(true);
    }

    private void startAll() {
        List<Run> runs = mFixture.starts();
        assertThat(runs).isNotEmpty();
        mFixture.started(runs);
    }

    private void accept(Job job) {
        assertThat(mFixture.accept(job).accepted()).isTrue();
    }

    private List<String> startedJobs() {
        List<String> jobs = new ArrayList<>();
        List<Run> runs = mFixture.starts();
        mFixture.started(runs);
        runs.forEach(run -> jobs.add(run.task().jobId()));
        return jobs;
    }

    private void assertStartsInTime(String jobId) {
        long sinceMillis = mFixture.mNowMillis;
        while (!startedJobs().contains(jobId)) {
            mFixture.mNowMillis += PASS_INTERVAL_MILLIS;
            assertThat(mFixture.mNowMillis - sinceMillis)
                    .as("time for which the task of job %s has not run", jobId)
                    .isLessThanOrEqualTo(LONGEST_WAIT_MILLIS);
        }
    }
}

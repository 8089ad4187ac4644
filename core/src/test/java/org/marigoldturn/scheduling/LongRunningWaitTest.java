package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldturn.scheduling.SchedulerFixture.job;
import static org.marigoldturn.scheduling.SchedulerFixture.longRunning;
import static org.marigoldturn.scheduling.SchedulerFixture.longRunningWithoutSpread;
import static org.marigoldturn.scheduling.SchedulerFixture.step;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.marigoldturn.jobs.Job;

/**
 * Checks that a long-running task that is not running starts within the platform's bound while a
 * target of its service has room for it.
 */
class LongRunningWaitTest {
    /** Time after its last run within which a long-running task has to run again. */
    private static final long LONGEST_WAIT_MILLIS = 6_000;

    private static final long PASS_INTERVAL_MILLIS = 100;

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
                .relocateOne(target)
                .ifPresent(
                        run -> {
                            mFixture.end(run, EndKind.STOPPED);
                            assertStartsInTime("waiting");
                        });
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

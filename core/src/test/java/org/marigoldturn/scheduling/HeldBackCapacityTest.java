package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldturn.scheduling.SchedulerFixture.job;
import static org.marigoldturn.scheduling.SchedulerFixture.longRunning;
import static org.marigoldturn.scheduling.SchedulerFixture.step;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.StepSpec;

/** Checks for which tasks and for how long capacity is held back. */
class HeldBackCapacityTest {
    private static final int TARGETS = 3;
    private static final long PASS_INTERVAL_MILLIS = 100;

    /** Longer than the age from which a job may have capacity held back. */
    private static final long OVERDUE_MILLIS = 600;

    private final SchedulerFixture mFixture = new SchedulerFixture();

    /** Guards against ordinary jobs that never start beside jobs that fit nowhere for good. */
    @Example
    void nothingIsHeldBackForTasksThatFitNowhereBesideLongRunningOnes() {
        addTargetsWithRuns(longRunning(TARGETS, 8_000, TARGETS));
        acceptOverdue("large", TARGETS, 28_000);

        accept(job("small", "", step(1, 1_000)));
        assertThat(startedJobs()).containsExactly("small");
    }

    /** Guards against a task that waits for as long as others' runs last, beside free capacity. */
    @Example
    void capacityIsHeldBackForABoundedTimeWhileRunsDoNotEnd() {
        addTargetsWithRuns(step(TARGETS, 17_000));
        acceptOverdue("large", TARGETS, 28_000);
        assertThat(startedJobs()).isEmpty();

        for (int i = 0; i < 3; i++) {
            accept(job("small" + i, "", step(1, 1_000)));
            assertThat(startedJobs()).isEmpty();
            assertThat(millisUntilStart()).isBetween(1L, HeldBackCapacity.LONGEST_MILLIS);
        }
    }

    /** Guards against small tasks that keep a larger one from ever starting. */
    @Example
    void aLargeTaskStartsOnceTheShortRunsOfATargetHaveEnded() {
        List<Run> runs = addTargetsWithRuns(step(TARGETS, 17_000));
        acceptOverdue("large", 1, 28_000);
        for (int i = 0; i < TARGETS; i++) {
            accept(job("filling" + i, "", step(1, 15_000)));
        }
        // One target is kept free of them.
        assertThat(startedJobs()).containsExactlyInAnyOrder("filling0", "filling1");

        for (Run run : runs) {
            mFixture.end(run, EndKind.DONE);
        }
        assertThat(startedJobs()).contains("large0");
    }

    /** Returns the runs of a step with as many tasks as targets, one on each. */
    private List<Run> addTargetsWithRuns(StepSpec step) {
        for (int i = 0; i < TARGETS; i++) {
            mFixture.addTarget("t" + i, 32_000);
        }
        accept(job("first", "", step));
        List<Run> runs = mFixture.starts();
        mFixture.started(runs);
        assertThat(runs).extracting(Run::target).doesNotHaveDuplicates().hasSize(TARGETS);
        return runs;
    }

    private void acceptOverdue(String prefix, int count, long millicores) {
        for (int i = 0; i < count; i++) {
            accept(job(prefix + i, "", step(1, millicores)));
        }
        mFixture.mNowMillis += OVERDUE_MILLIS;
    }

    private void accept(Job job) {
        assertThat(mFixture.accept(job).accepted()).isTrue();
    }

    private List<String> startedJobs() {
        List<String> jobs = new ArrayList<>();
        mFixture.starts().forEach(run -> jobs.add(run.task().jobId()));
        return jobs;
    }

    private long millisUntilStart() {
        long sinceMillis = mFixture.mNowMillis;
        while (startedJobs().isEmpty()) {
            mFixture.mNowMillis += PASS_INTERVAL_MILLIS;
            assertThat(mFixture.mNowMillis - sinceMillis).isLessThan(60_000);
        }
        return mFixture.mNowMillis - sinceMillis;
    }
}

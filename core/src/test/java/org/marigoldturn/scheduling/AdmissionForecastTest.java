package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldturn.scheduling.SchedulerFixture.job;
import static org.marigoldturn.scheduling.SchedulerFixture.step;

import net.jqwik.api.Example;

/** Checks which submissions are refused, and with which retry delay. */
class AdmissionForecastTest {
    private final SchedulerFixture mFixture = new SchedulerFixture();

    @Example
    void jobIsAcceptedWhileTargetsHaveFreeCapacityEvenIfLaterStepsOfOtherJobsWait() {
        mFixture.addTarget("t1", 4_000);
        // Five later steps of 3 core-seconds each wait for the first step, which uses one core.
        mFixture.accept(
                job(
                        "long",
                        "",
                        step(1, 1_000),
                        step(3, 1_000, 0),
                        step(3, 1_000, 1),
                        step(3, 1_000, 2),
                        step(3, 1_000, 3),
                        step(3, 1_000, 4)));
        mFixture.started(mFixture.starts());
        assertThat(mFixture.accept(job("next", "", step(3, 1_000))).accepted()).isTrue();
    }

    @Example
    void jobThatCannotMeetItsObjectiveIsRefusedWithARetryDelay() {
        mFixture.addTarget("t1", 2_000);
        Admission last = null;
        for (int i = 0; i < 20; i++) {
            last = mFixture.accept(job("j" + i, "", step(2, 1_000)));
            mFixture.started(mFixture.starts());
        }
        assertThat(last.accepted()).isFalse();
        assertThat(last.reason()).isEqualTo("overload");
        assertThat(last.retryAfterSeconds()).isBetween(1, 5);
        // A job may wait for 1.2 s and meet its objective, so one job runs and one or two wait.
        assertThat(mFixture.mScheduler.activeJobs()).isBetween(2, 3);
    }

    @Example
    void taskThatFitsNoTargetIsRefusedAtOnce() {
        mFixture.addTarget("t1", 2_000);
        Admission admission = mFixture.accept(job("wide", "", step(1, 3_000)));
        assertThat(admission.accepted()).isFalse();
        assertThat(admission.reason()).isEqualTo("task-too-large");
    }

    @Example
    void submissionsAreRefusedWithoutTargets() {
        Admission admission = mFixture.accept(job("a", "", step(1, 1_000)));
        assertThat(admission.accepted()).isFalse();
        assertThat(admission.retryAfterSeconds()).isPositive();
    }
}

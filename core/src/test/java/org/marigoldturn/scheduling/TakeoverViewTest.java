package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.marigoldturn.jobs.JobProgress;
import org.marigoldturn.jobs.JobState;

/** Guards against refusals and moves of hosts that rest on a part of the targets. */
class TakeoverViewTest {
    private static final int READ_TARGETS = 78;
    private static final int UNREAD_TARGETS = 146;
    private static final int RESTORED_JOBS = 180;
    private static final int TASKS = 8;
    private static final long TASK_MILLICORES = 1_500;
    private static final long TARGET_MILLICORES = 16_000;

    private final SchedulerFixture mFixture = new SchedulerFixture(2);

    private void takeOver(int unreadTargets) {
        for (int i = 0; i < RESTORED_JOBS; i++) {
            mFixture.mScheduler.restore(
                    SchedulerFixture.job(
                            "restored" + i, "", SchedulerFixture.step(TASKS, TASK_MILLICORES)),
                    new JobProgress(JobState.RUNNING, 0, List.of()),
                    mFixture.mNowMillis);
        }
        for (int i = 0; i < unreadTargets; i++) {
            mFixture.mScheduler.restoreTarget(
                    SchedulerFixture.entry("unread" + i, 1, TARGET_MILLICORES),
                    mFixture.mNowMillis);
        }
        for (int i = 0; i < READ_TARGETS; i++) {
            mFixture.addTarget("read" + i, TARGET_MILLICORES);
        }
    }

    private List<Admission> submit(int jobs) {
        List<Admission> admissions = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            admissions.add(
                    mFixture.accept(
                            SchedulerFixture.job(
                                    "new" + i, "", SchedulerFixture.step(TASKS, TASK_MILLICORES))));
        }
        return admissions;
    }

    private List<LoanPolicy.Move> moves() {
        List<LoanPolicy.SpareHost> spare = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            spare.add(new LoanPolicy.SpareHost("spare" + i, "standby", TARGET_MILLICORES, 0));
        }
        return LoanPolicy.decide(
                mFixture.mScheduler.serviceLoads(mFixture.mNowMillis, mFixture.mNowMillis),
                spare,
                "standby",
                mFixture.mNowMillis);
    }

    @Example
    void newOwnerRefusesNothingForOverloadBeforeItHasReadTheTargets() {
        takeOver(UNREAD_TARGETS);

        // The jobs fit into the processors that are free at the targets read so far.
        List<Admission> admissions = submit(100);

        assertThat(admissions).allMatch(Admission::accepted);
        assertThat(admissions.get(0).forecast().unreadTargets()).isEqualTo(UNREAD_TARGETS);
    }

    @Example
    void newOwnerMovesNoHostBeforeItHasReadTheTargets() {
        takeOver(UNREAD_TARGETS);

        assertThat(moves()).isEmpty();
    }

    @Example
    void newOwnerKeepsLoanedHostsWhoseWorkMayWaitForTheLastTarget() {
        takeOver(1);
        LoanPolicy.SpareHost loaned =
                new LoanPolicy.SpareHost(
                        "loaned", "service", TARGET_MILLICORES, mFixture.mNowMillis - 2_000);

        assertThat(
                        LoanPolicy.decide(
                                mFixture.mScheduler.serviceLoads(
                                        mFixture.mNowMillis, mFixture.mNowMillis),
                                List.of(loaned),
                                "standby",
                                mFixture.mNowMillis))
                .isEmpty();
    }

    @Example
    void loadThatNoReadingOfTheViewCanServeIsRefused() {
        takeOver(UNREAD_TARGETS);

        List<Admission> admissions = submit(2_000);

        Admission last = admissions.get(admissions.size() - 1);
        assertThat(last.accepted()).isFalse();
        assertThat(last.reason()).isEqualTo(Admission.OVERLOAD);
    }

    @Example
    void targetThatNeverRespondsDoesNotCountForever() {
        takeOver(1);

        mFixture.mNowMillis += SchedulerFixture.LONGEST_LEASE_MILLIS + 1;
        Admission admission = submit(1).get(0);

        assertThat(admission.forecast().unreadTargets()).isZero();
        assertThat(admission.forecast().capacityMillicores())
                .isEqualTo(READ_TARGETS * TARGET_MILLICORES);
    }

    @Example
    void restoredJobsThatMayNotStartYetDoNotStopAJobThatFits() {
        takeOver(0);
        mFixture.mScheduler.holdRestoredJobsUntil(mFixture.mNowMillis + 1_000);

        assertThat(submit(1).get(0).accepted()).isTrue();
    }
}

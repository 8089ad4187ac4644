package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldturn.scheduling.SchedulerFixture.ACCOUNT;
import static org.marigoldturn.scheduling.SchedulerFixture.QUEUE;
import static org.marigoldturn.scheduling.SchedulerFixture.job;
import static org.marigoldturn.scheduling.SchedulerFixture.longRunningWithoutSpread;
import static org.marigoldturn.scheduling.SchedulerFixture.step;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.marigoldturn.jobs.AdviceSettings;
import org.marigoldturn.jobs.JobProgress;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.StepSpec;
import org.marigoldturn.jobs.TaskId;

/** Guards against a long-running task that waits for a reason that nobody is told. */
class WaitDiagnosisTest {
    private static final long WAITED_MILLIS = 2_000;
    private static final StepSpec ONE_TASK = longRunningWithoutSpread(1, 1_000, 1);

    private final SchedulerFixture mFixture = new SchedulerFixture();
    private final JobScheduler mScheduler = mFixture.mScheduler;
    private final LongRunningWaits mWaits = mScheduler.longRunningWaits();
    private boolean mMayAct = true;

    @Example
    void roomTellsWhatIsNeededAndFree() {
        mFixture.addTarget("small", 500);
        mFixture.addTarget("large", 1_500);
        mFixture.accept(job("short", "", step(1, 1_000)));
        mFixture.started(mFixture.starts());
        acceptOneTask();
        assertThat(waitAfterPass())
                .isEqualTo(
                        new TaskWait(
                                new TaskId("a", 0, 0, 0),
                                mFixture.mNowMillis - WAITED_MILLIS,
                                WaitReason.ROOM,
                                "tasks=1 neededMillicores=1000 neededMegabytes=100"
                                        + " neededAccelerators=0 usable=2 eligible=1"
                                        + " mostFreeMillicores=500 mostFreeMegabytes=9900"
                                        + " mostFreeAccelerators=0"
                                        + " mostAfterShortRunsMillicores=1500"));
    }

    @Example
    void limitTellsTheAccountAndItsUse() {
        mFixture.addTarget("t1", 32_000);
        mFixture.accept(job("first", ACCOUNT.name(), longRunningWithoutSpread(1, 8_000, 1)));
        mFixture.started(mFixture.starts());
        mFixture.accept(job("a", ACCOUNT.name(), ONE_TASK));
        assertReason(
                WaitReason.LIMIT,
                "account=account",
                "runningMillicores=8000",
                "limitMillicores=8000");
    }

    @Example
    void capacityHeldBackTellsForWhichStep() {
        mFixture.addTarget("t1", 8_000);
        mFixture.accept(job("short", "", step(1, 4_000)));
        mFixture.started(mFixture.starts());
        mFixture.accept(job("large", "", longRunningWithoutSpread(1, 7_500, 1)));
        mFixture.mNowMillis++;
        acceptOneTask();
        assertReason(WaitReason.HELD_BACK, "target=t1", "for=large.0.0.0", "freeMillicores=4000");
    }

    @Example
    void hostsOnLoanAreNamed() {
        fill(mFixture.addTarget("t1", 8_000));
        mFixture.addTarget("lent", 8_000).setLoaned(true);
        acceptOneTask();
        assertReason(WaitReason.LENT, "targetIds=lent");
    }

    @Example
    void pausedTargetsAreNamed() {
        TargetState target = mFixture.addTarget("t1", 8_000);
        acceptOneTask();
        target.startPause().pause(Long.MAX_VALUE, "test");
        assertReason(WaitReason.PAUSED, "targets=1", "targetIds=t1", "haveRoom=paused:1");
    }

    @Example
    void cordonedTargetsAreNamed() {
        TargetState target = mFixture.addTarget("t1", 8_000);
        acceptOneTask();
        target.setCordoned(true);
        assertReason(WaitReason.CORDONED, "targetIds=t1");
    }

    @Example
    void unreachableTargetsAreNamed() {
        TargetState target = mFixture.addTarget("t1", 8_000);
        acceptOneTask();
        target.setReachable(false);
        assertReason(WaitReason.UNREACHABLE, "targetIds=t1");
    }

    @Example
    void unrecordedTargetsAreNamed() {
        TargetState target = mFixture.addTarget("t1", 8_000);
        acceptOneTask();
        target.setRecorded(false);
        assertReason(WaitReason.UNRECORDED, "targetIds=t1");
    }

    @Example
    void unlistedTargetsAreNamed() {
        mFixture.addTarget("t1", 8_000);
        acceptOneTask();
        mScheduler.onTargetUnlisted("t1");
        assertReason(WaitReason.UNLISTED, "targetIds=t1");
    }

    @Example
    void drainingTargetsAreNamed() {
        TargetEntry entry = mFixture.addTarget("t1", 8_000).entry();
        acceptOneTask();
        mScheduler.onTargetListed(
                new TargetEntry(
                        entry.id(),
                        entry.startedEpochMillis(),
                        entry.hostId(),
                        entry.service(),
                        entry.address(),
                        entry.zone(),
                        entry.rack(),
                        entry.labels(),
                        entry.capacity(),
                        true),
                mFixture.mNowMillis);
        assertReason(WaitReason.DRAINING, "targetIds=t1");
    }

    @Example
    void targetsInClosedZonesAreNamed() {
        mFixture.addTarget("t1", 8_000);
        acceptOneTask();
        mScheduler.setClosedZones(Set.of("zone"));
        assertReason(WaitReason.CLOSED_ZONE, "targetIds=t1");
    }

    @Example
    void targetsThatHaveNotReportedToACertainOwnerAreNamed() {
        TargetState former = mFixture.addTarget("t0", 8_000);
        acceptOneTask();
        mScheduler.onTargetEnded(former, mFixture.mNowMillis);
        mScheduler.setOwnership(false, mFixture.mNowMillis);
        mFixture.addTarget("t1", 8_000);
        assertReason(WaitReason.OWNERSHIP, "targetIds=t1");
    }

    @Example
    void ownerThatMayNotActIsTold() {
        mFixture.addTarget("t1", 8_000);
        acceptOneTask();
        mMayAct = false;
        assertThat(waitAfter(WAITED_MILLIS).reason()).isEqualTo(WaitReason.OWNERSHIP);
        assertThat(waitNow().detail()).contains("mayAct=false");
    }

    @Example
    void restoredJobNamesTheUnreadTargets() {
        mFixture.addTarget("read", 8_000);
        for (int i = 0; i < 7; i++) {
            mScheduler.onTargetListed(
                    SchedulerFixture.entry("unread" + i, 1, 8_000), mFixture.mNowMillis);
        }
        restoreOneTask();
        assertReason(
                WaitReason.UNREAD,
                "targets=7",
                "targetIds=unread0,unread1,unread2,unread3,unread4,...");
    }

    @Example
    void newJobNamesUnreadTargetsThatHaveRoom() {
        fill(mFixture.addTarget("t1", 8_000));
        TargetState unread =
                mScheduler.onTargetListed(
                        SchedulerFixture.entry("unread", 1, 8_000), mFixture.mNowMillis);
        unread.setReachable(true);
        acceptOneTask();
        assertReason(WaitReason.UNREAD, "targetIds=unread", "haveRoom=unread:1");
    }

    @Example
    void restoredJobThatIsHeldAfterAnOutageTellsForHowLong() {
        mFixture.addTarget("t1", 8_000);
        restoreOneTask();
        mScheduler.holdRestoredJobsUntil(mFixture.mNowMillis + WAITED_MILLIS + 500);
        assertReason(WaitReason.STORE_REGAINED, "leftMillis=500");
    }

    @Example
    void taskThatIsHeldTellsTheAgeOfTheConfirmation() {
        TargetState ended = mFixture.addTarget("t1", 8_000);
        acceptOneTask();
        mFixture.started(mFixture.starts());
        observe();
        mScheduler.setOwnership(true, mFixture.mNowMillis);
        mFixture.mNowMillis++;
        mScheduler.onTargetEnded(ended, mFixture.mNowMillis);
        mFixture.addTarget("t2", 8_000);
        assertReason(WaitReason.HELD, "confirmedMillisAgo=" + (WAITED_MILLIS + 2));
    }

    @Example
    void stepWithoutATicketTellsHowManyTargetsHaveOne() {
        mFixture.requireTickets(new AdviceSettings(20, 1, 5_000));
        mFixture.addTarget("t1", 8_000);
        mFixture.addTarget("t2", 8_000);
        acceptOneTask();
        assertReason(WaitReason.ADVICE, "usable=2 withTicket=0");

        AdviceRequest request =
                mScheduler
                        .nextAdviceRequest(mFixture.mNowMillis, mFixture.mNowMillis)
                        .orElseThrow();
        mScheduler.onAdviceResponse(request, Map.of("t1", "ticket"), mFixture.mNowMillis);
        assertThat(waitNow().reason()).isEqualTo(WaitReason.STARTABLE);
    }

    @Example
    void runWithoutAnAnswerIsNamed() {
        mFixture.addTarget("t1", 8_000);
        acceptOneTask();
        Run run = mFixture.starts().get(0);
        assertReason(WaitReason.EARLIER_RUN, "run=1 target=t1 state=starting");
        mScheduler.onStartResponse(run, StartOutcome.UNKNOWN, mFixture.mNowMillis);
        assertThat(waitNow().detail()).contains("state=stopping", "reachable=true");
    }

    @Example
    void runOnALostTargetIsNamedWithTheRestOfTheLease() {
        TargetState target = mFixture.addTarget("t1", 8_000);
        acceptOneTask();
        mFixture.started(mFixture.starts());
        observe();
        assertThat(mWaits.count()).isZero();
        target.extendLease(mFixture.mNowMillis + WAITED_MILLIS + 700);
        target.setReachable(false);
        mFixture.addTarget("t2", 8_000);
        assertReason(
                WaitReason.EARLIER_RUN, "state=running", "reachable=false leaseLeftMillis=699");
    }

    @Example
    void missingQueueIsNamed() {
        mFixture.addTarget("t1", 8_000);
        acceptOneTask();
        mScheduler.setCatalog(
                new QueueCatalog(2, List.of(), Set.of("service"), Set.of(), List.of(ACCOUNT)));
        assertReason(WaitReason.NOT_CONFIGURED, "queue=queue");
    }

    @Example
    void jobThatIsNotStoredIsTold() {
        mFixture.addTarget("t1", 8_000);
        mScheduler.submit(job("a", "", ONE_TASK), QUEUE, mFixture.mNowMillis, mFixture.mNowMillis);
        assertReason(WaitReason.NOT_STORED, "queue=queue");
    }

    /** A task whose last pass had nothing to hold against it must not get a made-up reason. */
    @Example
    void taskThatNothingKnownPreventsIsStartable() {
        mFixture.addTarget("t1", 8_000);
        acceptOneTask();
        mFixture.mNowMillis += WAITED_MILLIS;
        assertThat(waitNow().reason()).isEqualTo(WaitReason.STARTABLE);
        assertThat(mFixture.starts()).hasSize(1);
    }

    @Example
    void waitBeginsAgainWhenARunThatWasKnownToRunEnds() {
        mFixture.addTarget("t1", 8_000);
        acceptOneTask();
        mFixture.mNowMillis += 400;
        observe();
        assertThat(mWaits.longestMillis(mFixture.mNowMillis)).isEqualTo(400);

        Run run = mFixture.starts().get(0);
        mFixture.started(List.of(run));
        observe();
        assertThat(mWaits.isRunning(run.task())).isTrue();
        assertThat(mWaits.longestMillis(mFixture.mNowMillis)).isZero();

        mFixture.mNowMillis += 10_000;
        observe();
        mFixture.end(run, EndKind.STOPPED);
        mFixture.mNowMillis += 300;
        observe();
        assertThat(mWaits.isRunning(run.task())).isFalse();
        assertThat(mWaits.longestMillis(mFixture.mNowMillis)).isEqualTo(301);
    }

    @Example
    void shortTasksAndStepsThatAreNotReadyDoNotWait() {
        mFixture.addTarget("t1", 8_000);
        mFixture.accept(job("short", "", step(1, 1_000)));
        StepSpec later =
                new StepSpec(
                        1,
                        new ResourceAmounts(1_000, 100, 0),
                        1_000,
                        List.of(0),
                        new StepSpec.Placement("", "", 0, false),
                        new StepSpec.Traits(false, false, false, true, false),
                        "image",
                        0,
                        1);
        mFixture.accept(job("a", "", step(1, 1_000), later));
        mFixture.mNowMillis += WAITED_MILLIS;
        observe();
        assertThat(mWaits.count()).isZero();
    }

    @Example
    void cancelledJobWaitsNoLonger() {
        mFixture.addTarget("t1", 8_000);
        acceptOneTask();
        observe();
        assertThat(mWaits.count()).isEqualTo(1);
        mScheduler.cancel("a", mFixture.mNowMillis);
        observe();
        assertThat(mWaits.count()).isZero();
    }

    /** Guards against a diagnosis that takes long, and against waits that never have a reason. */
    @Example
    void stepsTakeTurnsIfThereAreMany() {
        int steps = 2 * LongRunningWaits.MAX_STEPS;
        for (int i = 0; i < steps; i++) {
            mScheduler.restore(job("a" + i, "", ONE_TASK), JobProgress.NONE, mFixture.mNowMillis);
        }
        observe();
        Set<TaskId> diagnosed = new HashSet<>();
        for (int i = 0; i < 2; i++) {
            mFixture.mNowMillis += 1_000;
            List<TaskWait> waits = mWaits.diagnose(0, mMayAct, mFixture.mNowMillis);
            assertThat(waits).hasSize(LongRunningWaits.MAX_STEPS);
            waits.forEach(wait -> diagnosed.add(wait.task()));
        }
        assertThat(diagnosed).hasSize(steps);
        assertThat(mWaits.count()).isEqualTo(steps);
    }

    /** Guards against a target that is left out of a pass and has no reason for it, or has one. */
    @Property(seed = "20261206", tries = 500)
    void targetHasAnExclusionIfAndOnlyIfItAcceptsNoTask(
            @ForAll boolean listed,
            @ForAll boolean recorded,
            @ForAll boolean reported,
            @ForAll boolean reachable,
            @ForAll boolean cordoned,
            @ForAll boolean paused,
            @ForAll boolean closed) {
        TargetState target =
                new TargetState(SchedulerFixture.entry("t1", 1, 1_000), TargetState.NEVER_USED, 1);
        target.setListed(listed);
        target.setRecorded(recorded);
        if (reported) {
            target.recordReport(true);
        }
        target.setReachable(reachable);
        target.setCordoned(cordoned);
        target.startPause().pause(paused ? 2 : 1, "test");
        Set<String> closedZones = closed ? Set.of("zone") : Set.of();
        assertThat(target.exclusion(closedZones, 1).isEmpty())
                .isEqualTo(target.canRun(closedZones, 1) && !target.isAvoided(1));
    }

    /** Fills a target with a short run. */
    private void fill(TargetState target) {
        mFixture.accept(job("fill", "", step(1, target.entry().capacity().cpuMillicores())));
        mFixture.started(mFixture.starts());
    }

    private void acceptOneTask() {
        assertThat(mFixture.accept(job("a", "", ONE_TASK)).accepted()).isTrue();
    }

    private void restoreOneTask() {
        mScheduler.restore(job("a", "", ONE_TASK), JobProgress.NONE, mFixture.mNowMillis);
    }

    private void observe() {
        mWaits.observe(mFixture.mNowMillis, mFixture.mNowMillis);
    }

    private TaskWait waitAfterPass() {
        mFixture.mNowMillis += WAITED_MILLIS;
        assertThat(mFixture.starts()).isEmpty();
        return waitNow();
    }

    private TaskWait waitNow() {
        return waitAfter(0);
    }

    /** Returns the wait of the only task of job "a". */
    private TaskWait waitAfter(long afterMillis) {
        mFixture.mNowMillis += afterMillis;
        observe();
        List<TaskWait> waits =
                mWaits.diagnose(0, mMayAct, mFixture.mNowMillis).stream()
                        .filter(wait -> wait.task().jobId().equals("a"))
                        .toList();
        assertThat(waits).hasSize(1);
        return waits.get(0);
    }

    private void assertReason(WaitReason reason, String... details) {
        TaskWait wait = waitAfterPass();
        assertThat(wait.reason()).as(wait.detail()).isEqualTo(reason);
        assertThat(wait.detail()).contains(details);
    }
}

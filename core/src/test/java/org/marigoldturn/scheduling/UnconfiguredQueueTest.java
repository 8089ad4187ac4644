package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldturn.scheduling.SchedulerFixture.ACCOUNT;
import static org.marigoldturn.scheduling.SchedulerFixture.gang;
import static org.marigoldturn.scheduling.SchedulerFixture.job;
import static org.marigoldturn.scheduling.SchedulerFixture.step;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Example;
import org.marigoldturn.jobs.JobProgress;
import org.marigoldturn.jobs.JobState;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.TaskId;

/** Checks jobs whose queue a version of the configuration lacks and a later one has again. */
class UnconfiguredQueueTest {
    private static final QueueCatalog WITHOUT_QUEUE =
            new QueueCatalog(2, List.of(), Set.of("service"), Set.of(), List.of(ACCOUNT));
    private static final QueueCatalog WITH_QUEUE = SchedulerFixture.catalog(ACCOUNT);

    private final SchedulerFixture mFixture = new SchedulerFixture();
    private final JobScheduler mScheduler = mFixture.mScheduler;

    /** Guards against a job that fails for good after fewer failed runs than its queue allows. */
    @Example
    void aJobIsNotFailedByARunThatFailsWhileItsQueueIsNotConfigured() {
        mFixture.addTarget("t1", 8_000);
        mFixture.accept(job("a", "account", step(1, 1_000)));
        Run first = startOne();

        mScheduler.setCatalog(WITHOUT_QUEUE);
        mFixture.end(first, EndKind.FAILED);
        assertThat(mFixture.starts()).isEmpty();
        assertThat(mScheduler.state("a")).contains(JobState.RUNNING);

        mScheduler.setCatalog(WITH_QUEUE);
        mFixture.end(startOne(), EndKind.DONE);
        assertThat(mScheduler.state("a")).contains(JobState.COMPLETED);
    }

    /** Guards against a start after the last attempt. */
    @Example
    void aJobThatIsOutOfAttemptsFailsOnceItsQueueIsConfiguredAgain() {
        mFixture.addTarget("t1", 8_000);
        mFixture.accept(job("a", "account", step(1, 1_000)));
        mFixture.end(startOne(), EndKind.FAILED);
        Run last = startOne();
        mScheduler.setCatalog(WITHOUT_QUEUE);
        mFixture.end(last, EndKind.FAILED);
        assertThat(mScheduler.state("a")).contains(JobState.RUNNING);
        mScheduler.takeChangedJobIds();

        mScheduler.setCatalog(WITH_QUEUE);
        assertThat(mFixture.starts()).isEmpty();
        assertThat(mScheduler.state("a")).contains(JobState.FAILED);
        assertThat(mScheduler.takeChangedJobIds()).containsExactly("a");
    }

    @Example
    void theFailedRunsOfAllMembersOfAGangCount() {
        mFixture.addTarget("t1", 8_000);
        mFixture.accept(job("a", "account", gang(2, 1_000)));
        mScheduler.setCatalog(WITH_QUEUE);
        failMember(0);
        assertThat(mScheduler.state("a")).contains(JobState.RUNNING);

        List<Run> members = mFixture.starts();
        mFixture.started(members);
        mScheduler.setCatalog(WITHOUT_QUEUE);
        mFixture.end(members.get(1), EndKind.FAILED);
        mFixture.end(members.get(0), EndKind.STOPPED);
        assertThat(mScheduler.state("a")).contains(JobState.RUNNING);
        mScheduler.setCatalog(WITH_QUEUE);
        assertThat(mFixture.starts()).isEmpty();
        assertThat(mScheduler.state("a")).contains(JobState.FAILED);
    }

    /** Guards against a verdict that is lost with the owner that has deferred it. */
    @Example
    void aNextOwnerFailsARestoredJobThatIsOutOfAttempts() {
        JobScheduler next = new JobScheduler(WITHOUT_QUEUE, 2, 0, 0, 0);
        next.restore(job("a", "account", step(1, 1_000)), failedRuns("a", 1L, 2L), 0);
        next.restore(job("b", "account", step(1, 1_000)), failedRuns("b", 1L), 0);
        next.decide(1_000, 1_000);
        assertThat(next.state("a")).contains(JobState.RUNNING);

        next.setCatalog(WITH_QUEUE);
        next.decide(2_000, 2_000);
        assertThat(next.state("a")).contains(JobState.FAILED);
        assertThat(next.state("b")).contains(JobState.RUNNING);
    }

    /** Guards against a restored job that goes ahead of more urgent ones for good. */
    @Example
    void aRestoredJobHasThePriorityOfItsQueueOnceThatIsConfigured() {
        JobTable jobs = new JobTable();
        JobEntry restored = new JobEntry(job("a", "account", step(1, 1_000)), 9, 1, true);
        JobEntry other = new JobEntry(job("b", "account", step(1, 1_000)), 5, 2, true);
        jobs.add(restored);
        jobs.add(other);
        assertThat(jobs.active()).containsExactly(other, restored);

        jobs.updatePriorities(
                changed -> changed.id().equals("a") ? Optional.of(0) : Optional.empty());
        assertThat(jobs.active()).containsExactly(restored, other);
        jobs.finish(restored, JobState.CANCELLED, 0);
        assertThat(jobs.active()).containsExactly(other);
    }

    private Run startOne() {
        List<Run> runs = mFixture.starts();
        assertThat(runs).hasSize(1);
        mFixture.started(runs);
        return runs.get(0);
    }

    private void failMember(int index) {
        List<Run> members = mFixture.starts();
        mFixture.started(members);
        mFixture.end(members.get(index), EndKind.FAILED);
        mFixture.end(members.get(1 - index), EndKind.STOPPED);
    }

    private static JobProgress failedRuns(String jobId, Long... numbers) {
        return new JobProgress(
                JobState.RUNNING,
                0,
                List.of(
                        new JobProgress.TaskProgress(
                                new TaskId(jobId, 0, 0, 0), false, Set.of(numbers), "")));
    }
}

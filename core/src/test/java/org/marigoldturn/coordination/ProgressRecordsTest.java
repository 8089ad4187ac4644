package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobProgress;
import org.marigoldturn.jobs.JobSpec;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.QueueSettings;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.StepSpec;
import org.marigoldturn.jobs.TaskId;
import org.marigoldturn.scheduling.EndKind;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetReport;
import org.marigoldturn.scheduling.TargetState;
import org.marigoldturn.store.Compare;
import org.marigoldturn.store.Operation;

/** Guards against ends that targets forget before the store holds why they need no new run. */
class ProgressRecordsTest {
    private static final QueueSettings QUEUE_OF_ONE_ATTEMPT =
            new QueueSettings(
                    "queue", "host", "/q/", "service", 0, 1, 1.6, 600, false, Optional.empty());

    private final ControlLoop mControl = new ControlLoop();
    private final SlowStore mStore = new SlowStore();
    private final JobScheduler mScheduler = owner();
    private final GroupCommit mCommits =
            new GroupCommit(mStore, mControl, Clocks.system(), mStore.writeTerm(), () -> {});
    private final ProgressRecords mRecords = new ProgressRecords(mScheduler, mCommits);
    private final TargetState mTarget = mScheduler.onTargetListed(entry("t1"), 0);

    @AfterTry
    void stop() {
        mControl.close();
    }

    @Example
    void anEndIsConfirmedOnceItsTaskIsStoredAsDone() throws Exception {
        mScheduler.restore(job("a", false), JobProgress.NONE, 0);
        assertIsConfirmedOnceStored(report(mTarget, end(1, "a", 0, EndKind.DONE)));
    }

    @Example
    void anEndOfACancelledJobIsConfirmedOnceTheCancellationIsStored() throws Exception {
        mScheduler.restore(job("a", false), JobProgress.NONE, 0);
        onControl(
                () -> {
                    mScheduler.cancel("a", 0);
                    mRecords.storeChanges();
                });
        assertIsConfirmedOnceStored(report(mTarget, end(1, "a", 0, EndKind.DONE)));
    }

    @Example
    void anEndOfAFailedJobIsConfirmedOnceTheFailureIsStored() throws Exception {
        mScheduler.restore(job("a", false), JobProgress.NONE, 0);
        report(mScheduler.onTargetListed(entry("t2"), 0), end(1, "a", 0, EndKind.FAILED));
        assertIsConfirmedOnceStored(report(mTarget, end(1, "a", 1, EndKind.DONE)));
    }

    @Example
    void anEndOfAGangIsConfirmedOnceTheEndOfItsFirstMemberIsStored() throws Exception {
        mScheduler.restore(job("a", true), JobProgress.NONE, 0);
        report(mScheduler.onTargetListed(entry("t2"), 0), end(1, "a", 0, EndKind.DONE));
        assertIsConfirmedOnceStored(report(mTarget, end(1, "a", 1, EndKind.DONE)));
    }

    @Example
    void anEndDoesNotWaitForTheWritesOfOtherJobs() throws Exception {
        mScheduler.restore(job("a", false), JobProgress.NONE, 0);
        report(mTarget, end(1, "a", 0, EndKind.DONE));
        assertThat(report(mTarget, end(2, "unknown", 0, EndKind.DONE))).isDone();
    }

    @Example
    void anEndWaitsForALaterWriteOfItsJobThanTheOneThatIsCarriedOut() throws Exception {
        mScheduler.restore(job("a", false), JobProgress.NONE, 0);
        report(mScheduler.onTargetListed(entry("t2"), 0), end(1, "a", 0, EndKind.DONE));
        CompletableFuture<Void> first = mStore.nextCommit();
        onControl(
                () -> {
                    mScheduler.cancel("a", 0);
                    mRecords.storeChanges();
                });
        CompletableFuture<Void> confirmable = report(mTarget, end(1, "a", 1, EndKind.DONE));
        first.complete(null);
        CompletableFuture<Void> second = mStore.nextCommit();
        assertThat(confirmable).isNotDone();
        second.complete(null);
        confirmable.get(10, TimeUnit.SECONDS);
    }

    private void assertIsConfirmedOnceStored(CompletableFuture<Void> confirmable) throws Exception {
        CompletableFuture<Void> commit = mStore.nextCommit();
        assertThat(confirmable).isNotDone();
        commit.complete(null);
        confirmable.get(10, TimeUnit.SECONDS);
        assertThat(mStore.value(StoreLayout.progress("a"))).isPresent();
    }

    private CompletableFuture<Void> report(TargetState target, TargetReport.RunEnd end)
            throws Exception {
        AtomicReference<CompletableFuture<Void>> confirmable = new AtomicReference<>();
        TargetReport report = new TargetReport(7, List.of(), List.of(end), true);
        onControl(
                () -> {
                    mScheduler.onReport(target, report, 1, 2, 0);
                    mRecords.storeChanges();
                    confirmable.set(mRecords.whenConfirmable(report));
                });
        return confirmable.get();
    }

    private void onControl(Runnable action) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mControl.execute(
                () -> {
                    action.run();
                    done.complete(null);
                });
        done.get(10, TimeUnit.SECONDS);
    }

    private static TargetReport.RunEnd end(long number, String job, int index, EndKind kind) {
        return new TargetReport.RunEnd(number, new TaskId(job, 0, 0, index), 1, kind, "");
    }

    private static JobScheduler owner() {
        QueueCatalog catalog =
                new QueueCatalog(
                        1, List.of(QUEUE_OF_ONE_ATTEMPT), Set.of("service"), Set.of(), List.of());
        return new JobScheduler(catalog, 1, 0, 0, 0);
    }

    private static Job job(String id, boolean gang) {
        StepSpec step =
                new StepSpec(
                        2,
                        new ResourceAmounts(100, 100, 0),
                        100,
                        List.of(),
                        new StepSpec.Placement("", "", 0, false),
                        new StepSpec.Traits(false, gang, false, false, false),
                        "",
                        0,
                        StepSpec.NO_BUDGET);
        JobSpec spec = new JobSpec("text", List.of(step), 1, false, 0, 0);
        return new Job(id, "queue", "account", spec, 0);
    }

    private static TargetEntry entry(String id) {
        return new TargetEntry(
                id,
                7,
                "h-" + id,
                "service",
                "127.0.0.1:9",
                "z",
                "r",
                Set.of(),
                new ResourceAmounts(8_000, 8_000, 0),
                false);
    }

    /** A store that carries out each commit only when the test lets it. */
    private static final class SlowStore extends MemoryStore {
        private final BlockingQueue<CompletableFuture<Void>> mCommits = new LinkedBlockingQueue<>();

        /** Returns what lets the next commit be carried out, once that commit was sent. */
        CompletableFuture<Void> nextCommit() throws InterruptedException {
            CompletableFuture<Void> commit = mCommits.poll(10, TimeUnit.SECONDS);
            assertThat(commit).as("a commit").isNotNull();
            return commit;
        }

        @Override
        public CompletableFuture<CommitResult> commit(
                List<Compare> conditions,
                List<Operation.Put> puts,
                List<Operation.Delete> deletes) {
            CompletableFuture<Void> allowed = new CompletableFuture<>();
            mCommits.add(allowed);
            return allowed.thenCompose(done -> super.commit(conditions, puts, deletes));
        }
    }
}

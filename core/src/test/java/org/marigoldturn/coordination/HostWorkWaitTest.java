package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobSpec;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.QueueSettings;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.StepSpec;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.Order;
import org.marigoldturn.scheduling.Run;
import org.marigoldturn.scheduling.StartOutcome;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetReport;
import org.marigoldturn.scheduling.TargetState;
import org.marigoldturn.store.StoredValue;

/**
 * Checks that planned work on hosts keeps no long-running task from running for longer than the
 * platform's bound while a target has room for it.
 */
class HostWorkWaitTest implements HostClient {
    /** Time after its last run within which a long-running task has to run again. */
    private static final long LONGEST_WAIT_MILLIS = 6_000;

    private static final long TICK_MILLIS = 100;
    private static final String LABEL = "label";
    private static final String WAVE_KEY = "operator/wave";
    private static final QueueSettings QUEUE =
            new QueueSettings(
                    "queue", "host", "/q/", "service", 0, 2, 1.6, 600, false, Optional.empty());

    private volatile long mNowMillis = 100_000;
    private final ControlLoop mControl = new ControlLoop();
    private final Clocks mClocks = new Clocks(() -> mNowMillis, () -> mNowMillis);
    private final Map<String, PlatformFormats.OperatorItem> mItems = new HashMap<>();
    private final List<HostStatus> mHosts = new ArrayList<>();
    private final List<String> mMoves = new ArrayList<>();
    private final JobScheduler mScheduler =
            new JobScheduler(catalog(), 2, mNowMillis, 5_000, 5_000);
    private final PlatformFormats mFormats = new ListedItems();
    private final OperatorView mOperator =
            new OperatorView(mFormats, () -> {}, mClocks, new MetricRegistry());
    private final HostWork mHostWork = hostWork();

    @AfterTry
    void stop() {
        mControl.close();
    }

    /** Guards against a wave that waits for a task which waits for a host of the wave. */
    @Example
    void aTaskStartsWhileItsBudgetKeepsTheOnlyTargetWithRoomFromMaintenance() {
        addTargetWithLongRunningTask();
        TargetState withRoom = addTarget("t1", 32_000);
        TargetState ending = addTarget("t2", 8_000);
        accept("waiting", step(2, 3_000, true));
        accept("short", step(1, 9_000, false));
        start();
        report(withRoom);
        report(ending);
        assertThat(withRoom.runs()).hasSize(2);
        assertThat(ending.runs()).hasSize(1);
        set(WAVE_KEY, new PlatformFormats.OperatorItem.Wave(1, Set.of("host-t1"), 20_000, 1));
        tick();

        mScheduler.onTargetEnded(ending, mNowMillis);
        assertStartsInTime("waiting");
    }

    /** Guards against a target that stays unused after the order to move its host was lost. */
    @Example
    void aTaskStartsOnATargetWhoseHostWasNotMovedSinceTheOrderGotNoResponse() {
        mHostWork.load(
                List.of(
                        new StoredValue(
                                StoreLayout.SPARE_HOSTS,
                                ByteString.copyFromUtf8("host-t1"),
                                1,
                                1)));
        addTargetWithLongRunningTask();
        addTarget("t1", 32_000);
        for (int i = 0; i < 60 && mMoves.isEmpty(); i++) {
            tick();
        }
        assertThat(mMoves).containsExactly("host-t1");

        accept("waiting", step(1, 3_000, true));
        assertStartsInTime("waiting");
    }

    /** Guards against targets that stay unused after the operator has withdrawn a wave. */
    @Example
    void aTaskStartsOnATargetOfAWaveThatWasWithdrawn() {
        addTargetWithLongRunningTask();
        TargetState target = addTarget("t1", 32_000);
        accept("short", step(1, 9_000, false));
        start();
        assertThat(target.runs()).hasSize(1);
        set(WAVE_KEY, new PlatformFormats.OperatorItem.Wave(1, Set.of("host-t1"), 20_000, 1));
        tick();
        mOperator.onRemoved(WAVE_KEY);

        accept("waiting", step(1, 3_000, true));
        assertStartsInTime("waiting");
    }

    /** Guards against a task that starts where the order of an earlier owner may end it. */
    @Example
    void noTaskStartsOnAHostWhoseMaintenanceAnEarlierOwnerHasOrdered() {
        MaintenanceRecord record = new MaintenanceRecord(Set.of(), Set.of("host-t1"));
        mHostWork.load(List.of(new StoredValue(StoreLayout.wave(1), record.encode(), 1, 1)));
        addTarget("t1", 32_000);
        accept("waiting", step(1, 3_000, true));
        set(WAVE_KEY, new PlatformFormats.OperatorItem.Wave(1, Set.of("host-t1"), 20_000, 1));
        onControl(
                () -> {
                    mHostWork.markTargets();
                    return null;
                });
        assertThat(start()).isEmpty();
    }

    /** Adds a target that lacks the label and the capacity for the tasks of the other jobs. */
    private void addTargetWithLongRunningTask() {
        TargetState target = addTarget("full", 8_000, Set.of());
        accept("full", step(1, 7_000, true, ""));
        assertThat(start()).containsExactly("full");
        report(target);
    }

    private void assertStartsInTime(String jobId) {
        long sinceMillis = mNowMillis;
        while (!start().contains(jobId)) {
            tick();
            assertThat(mNowMillis - sinceMillis)
                    .as("time for which the task of job %s has not run", jobId)
                    .isLessThanOrEqualTo(LONGEST_WAIT_MILLIS);
        }
    }

    private HostWork hostWork() {
        mScheduler.setOwnership(true, Long.MAX_VALUE);
        set("operator/catalog", new PlatformFormats.OperatorItem.Catalog(catalog()));
        GroupCommit commits = new GroupCommit(new MemoryStore(), mControl, mClocks, 1, () -> {});
        OwnerContext context =
                new OwnerContext(
                        new DaemonIdentity("front-1", "front-1/a", "z", "127.0.0.1", 1, 1.0),
                        2,
                        1,
                        new MemoryStore(),
                        null,
                        this,
                        null,
                        mFormats,
                        mControl,
                        mClocks,
                        new JobLimits(6_000, 1_000),
                        new MetricRegistry(),
                        new TakeoverTimes(0, 0, OwnershipLease.GRACE_MILLIS, 0, 0, 1),
                        new OwnershipLease(),
                        0,
                        () -> {},
                        () -> {});
        return new HostWork(context, mOperator, mScheduler, commits);
    }

    private static QueueCatalog catalog() {
        return new QueueCatalog(
                1, List.of(QUEUE), Set.of("service", "standby"), Set.of("standby"), List.of());
    }

    private void set(String key, PlatformFormats.OperatorItem item) {
        mItems.put(key, item);
        mOperator.onValue(new StoredValue(key, ByteString.EMPTY, 1, 1));
    }

    private TargetState addTarget(String id, long millicores) {
        return addTarget(id, millicores, Set.of(LABEL));
    }

    private TargetState addTarget(String id, long millicores, Set<String> labels) {
        TargetEntry entry =
                new TargetEntry(
                        id,
                        1,
                        "host-" + id,
                        "service",
                        "address-" + id,
                        "z",
                        "r",
                        labels,
                        new ResourceAmounts(millicores, 8_000, 0),
                        false);
        mHosts.add(new HostStatus("host-" + id, "service", HostState.UP, "z", id));
        TargetState target = mScheduler.onTargetListed(entry, mNowMillis);
        target.setRecorded(true);
        target.setReachable(true);
        report(target);
        return target;
    }

    private void report(TargetState target) {
        mNowMillis++;
        List<TargetReport.RunReport> running =
                target.runs().stream()
                        .map(run -> new TargetReport.RunReport(run.task(), run.number(), "", 100))
                        .toList();
        mScheduler.onReport(
                target,
                new TargetReport(1, running, List.of(), true),
                mNowMillis,
                mNowMillis,
                mNowMillis);
    }

    private static StepSpec step(int count, long millicores, boolean longRunning) {
        return step(count, millicores, longRunning, LABEL);
    }

    private static StepSpec step(
            int count, long millicores, boolean longRunning, String requiredLabel) {
        return new StepSpec(
                count,
                new ResourceAmounts(millicores, 100, 0),
                1_000,
                List.of(),
                new StepSpec.Placement(requiredLabel, "", 0, false),
                new StepSpec.Traits(false, false, false, longRunning, false),
                "",
                0,
                longRunning ? 1 : StepSpec.NO_BUDGET);
    }

    private void accept(String jobId, StepSpec step) {
        JobSpec spec = new JobSpec("", List.of(step), 1, false, 0, 0);
        Job job = new Job(jobId, QUEUE.name(), "", spec, 0);
        assertThat(mScheduler.submit(job, QUEUE, mNowMillis, mNowMillis).accepted()).isTrue();
        mScheduler.onStored(jobId);
    }

    /** Runs a scheduling pass whose start orders are accepted, and returns the tasks' jobs. */
    private List<String> start() {
        List<String> jobs = new ArrayList<>();
        for (Order order : mScheduler.decide(mNowMillis, mNowMillis)) {
            if (order instanceof Order.Start start) {
                Run run = start.run();
                mScheduler.onStartResponse(run, StartOutcome.ACCEPTED, mNowMillis);
                jobs.add(run.task().jobId());
            }
        }
        return jobs;
    }

    /** Runs one tick on the control thread and waits for the tasks that it queued there. */
    private void tick() {
        mNowMillis += TICK_MILLIS;
        onControl(
                () -> {
                    mHostWork.tick(mNowMillis);
                    return null;
                });
        onControl(() -> null);
        onControl(() -> null);
    }

    private <T> T onControl(Supplier<T> action) {
        return CompletableFuture.supplyAsync(action, mControl)
                .orTimeout(20, TimeUnit.SECONDS)
                .join();
    }

    @Override
    public CompletableFuture<List<HostStatus>> list() {
        return CompletableFuture.completedFuture(List.copyOf(mHosts));
    }

    @Override
    public CompletableFuture<HostOrderOutcome> orderMaintenance(
            String hostId, long wave, String holder, long term) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<HostOrderOutcome> orderMove(
            String hostId, String pool, String holder, long term) {
        mMoves.add(hostId);
        return CompletableFuture.completedFuture(HostOrderOutcome.UNKNOWN);
    }

    /** Formats of a platform whose operator has set the items of the test. */
    private final class ListedItems implements PlatformFormats {
        private final PlatformFormats mEmpty = new EmptyFormats();

        @Override
        public Either<Unusable, OperatorItem> operatorItem(String key, ByteString value) {
            return Either.right(mItems.get(key));
        }

        @Override
        public String targetPrefix() {
            return mEmpty.targetPrefix();
        }

        @Override
        public String targetId(String key) {
            return mEmpty.targetId(key);
        }

        @Override
        public Either<Unusable, TargetEntry> target(StoredValue value) {
            return mEmpty.target(value);
        }

        @Override
        public String operatorPrefix() {
            return mEmpty.operatorPrefix();
        }

        @Override
        public String waveStatusKey(long wave) {
            return mEmpty.waveStatusKey(wave);
        }

        @Override
        public ByteString waveStatus(boolean completed) {
            return mEmpty.waveStatus(completed);
        }
    }
}

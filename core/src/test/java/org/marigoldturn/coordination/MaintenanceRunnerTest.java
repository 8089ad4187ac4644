package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
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
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetReport;
import org.marigoldturn.scheduling.TargetState;

/**
 * Guards against maintenance orders for hosts on which unknown runs may exist, or that the budgets
 * forbid.
 */
class MaintenanceRunnerTest implements HostClient {
    private static final long LONGEST_LEASE_MILLIS = 5_000;
    private static final long TAKEOVER_MILLIS = 100_000;
    private static final QueueSettings QUEUE =
            new QueueSettings(
                    "queue", "host", "/q/", "service", 0, 2, 1.6, 600, false, Optional.empty());

    private volatile boolean mListPending;
    private volatile long mNowMillis = TAKEOVER_MILLIS;
    private final ControlLoop mControl = new ControlLoop();
    private final Clocks mClocks = new Clocks(() -> mNowMillis, () -> 0);
    private volatile HostOrderOutcome mOutcome = HostOrderOutcome.BEGUN;
    private final OwnershipLease mOwnershipLease = new OwnershipLease();
    private final MemoryStore mStore = new MemoryStore();
    private GroupCommit mCommits;
    private final List<String> mOrders = new ArrayList<>();
    private final List<HostStatus> mHosts = new ArrayList<>();
    private final JobScheduler mScheduler =
            new JobScheduler(
                    new QueueCatalog(1, List.of(), Set.of(), Set.of(), List.of()),
                    2,
                    TAKEOVER_MILLIS,
                    LONGEST_LEASE_MILLIS,
                    LONGEST_LEASE_MILLIS);

    @AfterTry
    void stop() {
        mControl.close();
    }

    @Example
    void newOwnerOrdersNoMaintenanceOfATargetThatItHasNotRead() {
        mHosts.add(new HostStatus("h1", "service", HostState.UP, "z", "t1"));
        TargetState target = mScheduler.onTargetListed(entry(), 0);
        MaintenanceRunner runner = runner();
        tick(runner, TAKEOVER_MILLIS);
        tick(runner, TAKEOVER_MILLIS + 100);
        assertThat(mOrders).isEmpty();

        target.setReachable(true);
        mScheduler.onReport(
                target,
                new TargetReport(1, List.of(), List.of(), true),
                TAKEOVER_MILLIS + 200,
                TAKEOVER_MILLIS + 200,
                0);
        tick(runner, TAKEOVER_MILLIS + 300);
        assertThat(mOrders).containsExactly("h1");
    }

    @Example
    void targetStaysInUseWhenTheMaintenanceHadBeenCarriedOutBefore() {
        mHosts.add(new HostStatus("h1", "service", HostState.UP, "z", "t1"));
        TargetState target = readTarget();
        MaintenanceRunner runner = runner();
        for (int i = 0; i < 4; i++) {
            tick(runner, mNowMillis += 100);
        }
        assertThat(mOrders).containsExactly("h1");
        assertThat(mScheduler.targets()).containsExactly(target);
    }

    @Example
    void targetOfAHostThatIsNotUpHasEnded() {
        mHosts.add(new HostStatus("h1", "service", HostState.UP, "z", "t1"));
        readTarget();
        MaintenanceRunner runner = runner();
        tick(runner, mNowMillis += 100);
        mHosts.set(0, new HostStatus("h1", "service", HostState.IN_PLANNED_WORK, "z", ""));
        tick(runner, mNowMillis += 100);
        tick(runner, mNowMillis += 100);
        assertThat(mScheduler.targets()).isEmpty();
    }

    @Example
    void secondMaintenanceWaitsForTheBudgetWhileTheListHasNotConfirmedTheFirst() {
        mHosts.add(new HostStatus("h1", "service", HostState.UP, "z", "t1"));
        mHosts.add(new HostStatus("h2", "service", HostState.UP, "z", "t2"));
        acceptLongRunningJobOnTwoTargets();
        MaintenanceRunner runner = runner(Set.of("h1", "h2"), 2);
        tick(runner, mNowMillis += 100);
        mListPending = true;
        for (int i = 0; i < 5; i++) {
            tick(runner, mNowMillis += 100);
        }
        assertThat(mOrders).hasSize(1);
    }

    /** Guards against a repeated order that ends tasks which its first attempt was not for. */
    @Example
    void repeatedOrderWaitsForTheBudgetsOfTheNextIncarnationsTasks() {
        mHosts.add(new HostStatus("h1", "service", HostState.UP, "z", "t1"));
        mScheduler.restore(longRunningJob(), JobProgress.NONE, mNowMillis);
        readTarget();
        MaintenanceRunner runner = runner();
        orderWithoutResponse(runner);

        TargetState next = read(entry("t1", 2, "h1"), List.of(run(0)));
        assertThat(mScheduler.interruptions().mayInterrupt(next)).isFalse();
        repeatOrders(runner);
        assertThat(mOrders).containsExactly("h1");
    }

    /** Guards against a repeated order that ends tasks which this owner does not know of. */
    @Example
    void repeatedOrderWaitsUntilTheNextIncarnationHasReported() {
        mHosts.add(new HostStatus("h1", "service", HostState.UP, "z", "t1"));
        readTarget();
        MaintenanceRunner runner = runner();
        orderWithoutResponse(runner);

        mScheduler.onTargetListed(entry("t1", 2, "h1"), mNowMillis);
        repeatOrders(runner);
        assertThat(mOrders).containsExactly("h1");
    }

    /** Guards against tasks that start on a target whose maintenance may begin at any time. */
    @Example
    void noTaskStartsOnTheNextIncarnationWhileAnOrderIsOpen() {
        mHosts.add(new HostStatus("h1", "service", HostState.UP, "z", "t1"));
        readTarget();
        MaintenanceRunner runner = runner();
        orderWithoutResponse(runner);

        TargetState next = read(entry("t1", 2, "h1"), List.of());
        next.setRecorded(true);
        tick(runner, mNowMillis += 100);
        mScheduler.setOwnership(true, Long.MAX_VALUE);
        mScheduler.setCatalog(
                new QueueCatalog(1, List.of(QUEUE), Set.of("service"), Set.of(), List.of()));
        mScheduler.restore(longRunningJob(), JobProgress.NONE, mNowMillis);
        assertThat(mScheduler.decide(mNowMillis, mNowMillis)).isEmpty();
    }

    /** Guards against a second host that goes down while the first one is. */
    @Example
    void theNextIncarnationThatMaintenanceHasEndedIsNotTakenForTheHostsReturn() {
        mHosts.add(new HostStatus("h1", "service", HostState.UP, "z", "t1"));
        mHosts.add(new HostStatus("h2", "service", HostState.UP, "z", "t2"));
        readTarget();
        read(entry("t2", 1, "h2"), List.of());
        MaintenanceRunner runner = runner(Set.of("h1", "h2"), 1);
        orderWithoutResponse(runner);
        String ordered = mOrders.get(0);
        read(entry("t" + ordered.substring(1), 2, ordered), List.of());
        mOutcome = HostOrderOutcome.BEGUN;
        mListPending = true;
        repeatOrders(runner);
        assertThat(mOrders).containsOnly(ordered);
    }

    /** Lets the first order get no response. */
    private void orderWithoutResponse(MaintenanceRunner runner) {
        mOutcome = HostOrderOutcome.UNKNOWN;
        tick(runner, mNowMillis += 100);
        assertThat(mOrders).hasSize(1);
    }

    /** Runs ticks for longer than the interval at which orders are repeated. */
    private void repeatOrders(MaintenanceRunner runner) {
        for (int i = 0; i < 15; i++) {
            tick(runner, mNowMillis += 100);
        }
    }

    private void acceptLongRunningJobOnTwoTargets() {
        mScheduler.restore(longRunningJob(), JobProgress.NONE, mNowMillis);
        TargetState first = read(entry("t1", 1, "h1"), List.of(run(0)));
        TargetState second = read(entry("t2", 1, "h2"), List.of(run(1)));
        assertThat(mScheduler.interruptions().mayInterrupt(first)).isTrue();
        assertThat(mScheduler.interruptions().mayInterrupt(second)).isTrue();
    }

    private static TargetReport.RunReport run(int index) {
        return new TargetReport.RunReport(new TaskId("lasting", 0, 0, index), 1, "", 100);
    }

    private TargetState read(TargetEntry entry, List<TargetReport.RunReport> runs) {
        TargetState target = mScheduler.onTargetListed(entry, 0);
        target.setReachable(true);
        mScheduler.onReport(
                target,
                new TargetReport(entry.startedEpochMillis(), runs, List.of(), true),
                mNowMillis,
                mNowMillis,
                0);
        return target;
    }

    private TargetState readTarget() {
        return read(entry(), List.of());
    }

    @Example
    void hostWhoseTargetEntryIsMissingWaits() {
        mHosts.add(new HostStatus("h1", "service", HostState.UP, "z", "t1"));
        MaintenanceRunner runner = runner();
        tick(runner, TAKEOVER_MILLIS);
        tick(runner, TAKEOVER_MILLIS + 100);
        assertThat(mOrders).isEmpty();
    }

    @Example
    void hostOnStandbyIsOrderedWithoutATarget() {
        mHosts.add(new HostStatus("h1", "standby", HostState.UP, "z", ""));
        MaintenanceRunner runner = runner();
        tick(runner, TAKEOVER_MILLIS);
        tick(runner, TAKEOVER_MILLIS + 100);
        assertThat(mOrders).containsExactly("h1");
    }

    private MaintenanceRunner runner() {
        return runner(Set.of("h1"), 1);
    }

    private MaintenanceRunner runner(Set<String> hostIds, int maxHostsDown) {
        mCommits = new GroupCommit(mStore, mControl, mClocks, mStore.writeTerm(), () -> {});
        mOwnershipLease.confirm(Long.MAX_VALUE / 4, Long.MAX_VALUE / 4);
        OwnerContext context =
                new OwnerContext(
                        new DaemonIdentity("front-1", "front-1/a", "z", "127.0.0.1", 1, 1.0),
                        2,
                        1,
                        new MemoryStore(),
                        null,
                        this,
                        null,
                        new EmptyFormats(),
                        mControl,
                        mClocks,
                        new JobLimits(6_000, 1_000),
                        new MetricRegistry(),
                        new TakeoverTimes(0, 0, OwnershipLease.GRACE_MILLIS, 0, 0, 1),
                        mOwnershipLease,
                        0,
                        () -> {},
                        () -> {});
        return new MaintenanceRunner(
                new PlatformFormats.OperatorItem.Wave(1, hostIds, 20_000, maxHostsDown),
                context,
                mScheduler,
                mCommits,
                Optional.empty());
    }

    /**
     * Runs one tick on the control thread and waits for the writes and tasks that follow from it.
     */
    private void tick(MaintenanceRunner runner, long nowMillis) {
        onControl(() -> runner.tick(nowMillis));
        CompletableFuture.supplyAsync(mCommits::flush, mControl)
                .thenCompose(stored -> stored)
                .orTimeout(20, TimeUnit.SECONDS)
                .join();
        onControl(() -> {});
        onControl(() -> {});
    }

    private void onControl(Runnable action) {
        CompletableFuture.runAsync(action, mControl).orTimeout(20, TimeUnit.SECONDS).join();
    }

    private static TargetEntry entry() {
        return entry("t1", 1, "h1");
    }

    private static TargetEntry entry(String id, long born, String hostId) {
        return new TargetEntry(
                id,
                born,
                hostId,
                "service",
                "a:1",
                "z",
                "r",
                Set.of(),
                new ResourceAmounts(8_000, 8_000, 0),
                false);
    }

    private static Job longRunningJob() {
        StepSpec step =
                new StepSpec(
                        2,
                        new ResourceAmounts(1_000, 100, 0),
                        1_000,
                        List.of(),
                        new StepSpec.Placement("", "", 1, false),
                        new StepSpec.Traits(false, false, false, true, false),
                        "",
                        0,
                        1);
        JobSpec spec = new JobSpec("", List.of(step), 1, false, 0, 0);
        return new Job("lasting", "queue", "", spec, 0);
    }

    @Override
    public CompletableFuture<List<HostStatus>> list() {
        return mListPending
                ? new CompletableFuture<>()
                : CompletableFuture.completedFuture(List.copyOf(mHosts));
    }

    @Override
    public CompletableFuture<HostOrderOutcome> orderMaintenance(
            String hostId, long wave, String holder, long term) {
        mOrders.add(hostId);
        return CompletableFuture.completedFuture(mOutcome);
    }

    @Override
    public CompletableFuture<HostOrderOutcome> orderMove(
            String hostId, String pool, String holder, long term) {
        throw new IllegalStateException("no move is expected");
    }
}

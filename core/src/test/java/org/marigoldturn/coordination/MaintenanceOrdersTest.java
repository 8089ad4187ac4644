package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetReport;
import org.marigoldturn.scheduling.TargetState;
import org.marigoldturn.store.StoredValue;

/** Guards against more hosts down for a wave than it allows when its owner is replaced. */
class MaintenanceOrdersTest implements HostClient {
    private static final long TAKEOVER_MILLIS = 100_000;

    private volatile long mNowMillis = TAKEOVER_MILLIS;
    private final ControlLoop mControl = new ControlLoop();
    private final Clocks mClocks = new Clocks(() -> mNowMillis, () -> 0);
    private final OwnershipLease mLease = new OwnershipLease();
    private final MemoryStore mStore = new MemoryStore();
    private final JobScheduler mScheduler =
            new JobScheduler(
                    new QueueCatalog(1, List.of(), Set.of(), Set.of(), List.of()),
                    2,
                    TAKEOVER_MILLIS,
                    5_000,
                    5_000);
    private final Map<String, HostState> mHosts = new HashMap<>();
    private final Map<String, HostOrderOutcome> mOutcomes = new HashMap<>();
    private final List<String> mOrders = new ArrayList<>();
    private final List<Set<String>> mRecordedAtOrder = new ArrayList<>();
    private GroupCommit mCommits;

    MaintenanceOrdersTest() {
        mLease.confirm(Long.MAX_VALUE / 4, Long.MAX_VALUE / 4);
        for (String host : List.of("h1", "h2")) {
            mHosts.put(host, HostState.UP);
            mOutcomes.put(host, HostOrderOutcome.UNKNOWN);
            readTarget(host);
        }
    }

    @AfterTry
    void stop() {
        mControl.close();
    }

    @Example
    void anOrderIsRecordedBeforeItIsSent() {
        tick(newOwner());
        assertThat(mOrders).hasSize(1);
        assertThat(mRecordedAtOrder).containsExactly(Set.copyOf(mOrders));
    }

    @Example
    void anOwnerThatWasReplacedOrdersNothing() {
        MaintenanceRunner runner = newOwner();
        mStore.writeTerm();
        onControl(() -> runner.tick(mNowMillis));
        CompletableFuture<Void> lingered = new CompletableFuture<>();
        mControl.after("test", 200, () -> lingered.complete(null));
        lingered.orTimeout(20, TimeUnit.SECONDS).join();
        onControl(() -> {});
        assertThat(mOrders).isEmpty();
    }

    @Example
    void anOwnerThatHasGivenUpItsRoleRepeatsNoOrder() {
        MaintenanceRunner runner = newOwner();
        tick(runner);
        onControl(runner::close);
        ticks(runner, 15);
        assertThat(mOrders).hasSize(1);
    }

    @Example
    void theNextOwnerRepeatsAnUnansweredOrderBeforeItOrdersOtherMaintenance() {
        tick(newOwner());
        String ordered = mOrders.get(0);
        mHosts.put(ordered, HostState.IN_PLANNED_WORK);
        MaintenanceRunner next = newOwner();
        ticks(next, 15);
        assertThat(mOrders).hasSizeGreaterThan(1).containsOnly(ordered);

        mOutcomes.put(ordered, HostOrderOutcome.BEGUN);
        mHosts.put(ordered, HostState.DOWN);
        ticks(next, 45);
        assertThat(mOrders).contains("h1", "h2");
    }

    @Example
    void aBusyHostWhoseOrderMayHaveBegunCountsAsDownUntilTheListShowsThatItIsNot() {
        tick(newOwner());
        String ordered = mOrders.get(0);
        mOutcomes.put(ordered, HostOrderOutcome.BUSY);
        mHosts.put(ordered, HostState.IN_PLANNED_WORK);
        MaintenanceRunner next = newOwner();
        ticks(next, 15);
        assertThat(mOrders).containsOnly(ordered);

        onControl(
                () ->
                        mScheduler.onTargetEnded(
                                mScheduler.targetOn(ordered).orElseThrow(), mNowMillis));
        mHosts.put(ordered, HostState.DOWN);
        ticks(next, 15);
        assertThat(mOrders).contains("h1", "h2");
    }

    @Example
    void anOrderThatHasBegunIsRecordedInPlaceOfTheOpenOne() {
        mOutcomes.replaceAll((host, outcome) -> HostOrderOutcome.BEGUN);
        tick(newOwner());
        assertThat(recorded()).isEqualTo(new MaintenanceRecord(Set.copyOf(mOrders), Set.of()));
    }

    private void readTarget(String hostId) {
        TargetEntry entry =
                new TargetEntry(
                        "t-" + hostId,
                        1,
                        hostId,
                        "service",
                        "address-" + hostId,
                        "z",
                        "r",
                        Set.of(),
                        new ResourceAmounts(8_000, 8_000, 0),
                        false);
        TargetState target = mScheduler.onTargetListed(entry, 0);
        target.setReachable(true);
        TargetReport report = new TargetReport(1, List.of(), List.of(), true);
        mScheduler.onReport(target, report, mNowMillis, mNowMillis, 0);
    }

    /** Returns the wave's runner in a new term, with the record that the former one has left. */
    private MaintenanceRunner newOwner() {
        long termRevision = mStore.writeTerm();
        mCommits = new GroupCommit(mStore, mControl, mClocks, termRevision, () -> {});
        Optional<StoredValue> record = mStore.value(StoreLayout.wave(1));
        record.ifPresent(value -> mCommits.recordRevision(value.key(), value.modRevision()));
        OwnerContext context =
                new OwnerContext(
                        new DaemonIdentity("front-1", "front-1/a", "z", "127.0.0.1", 1, 1.0),
                        2,
                        termRevision,
                        mStore,
                        null,
                        this,
                        null,
                        new EmptyFormats(),
                        mControl,
                        mClocks,
                        new JobLimits(6_000, 1_000),
                        new MetricRegistry(),
                        new TakeoverTimes(0, 0, OwnershipLease.GRACE_MILLIS, 0, 0, 1),
                        mLease,
                        0,
                        () -> {},
                        () -> {});
        return new MaintenanceRunner(
                new PlatformFormats.OperatorItem.Wave(1, mHosts.keySet(), 20_000, 1),
                context,
                mScheduler,
                mCommits,
                record.map(StoredValue::value));
    }

    private void ticks(MaintenanceRunner runner, int count) {
        for (int i = 0; i < count; i++) {
            tick(runner);
        }
    }

    /** Runs one tick and waits for the writes and tasks that follow from it. */
    private void tick(MaintenanceRunner runner) {
        mNowMillis += 100;
        onControl(() -> runner.tick(mNowMillis));
        awaitWrites();
        onControl(() -> {});
        onControl(() -> {});
        awaitWrites();
    }

    private void awaitWrites() {
        CompletableFuture.supplyAsync(mCommits::flush, mControl)
                .thenCompose(stored -> stored)
                .orTimeout(20, TimeUnit.SECONDS)
                .join();
    }

    private void onControl(Runnable action) {
        CompletableFuture.runAsync(action, mControl).orTimeout(20, TimeUnit.SECONDS).join();
    }

    private MaintenanceRecord recorded() {
        return MaintenanceRecord.decode(
                mStore.value(StoreLayout.wave(1)).map(StoredValue::value).orElse(ByteString.EMPTY));
    }

    @Override
    public CompletableFuture<List<HostStatus>> list() {
        List<HostStatus> hosts = new ArrayList<>();
        mHosts.forEach(
                (host, state) ->
                        hosts.add(
                                new HostStatus(
                                        host,
                                        "service",
                                        state,
                                        "z",
                                        state == HostState.UP ? "t-" + host : "")));
        return CompletableFuture.completedFuture(hosts);
    }

    @Override
    public CompletableFuture<HostOrderOutcome> orderMaintenance(
            String hostId, long wave, String holder, long term) {
        mOrders.add(hostId);
        mRecordedAtOrder.add(recorded().orderedHosts());
        return CompletableFuture.completedFuture(mOutcomes.get(hostId));
    }

    @Override
    public CompletableFuture<HostOrderOutcome> orderMove(
            String hostId, String pool, String holder, long term) {
        throw new IllegalStateException("no move is expected");
    }
}

package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
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
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetReport;
import org.marigoldturn.scheduling.TargetState;

/** Guards against moves of hosts that end runs of a target's next incarnation. */
class SpareHostsTest implements HostClient {
    private static final long TAKEOVER_MILLIS = 100_000;
    private static final QueueSettings QUEUE =
            new QueueSettings(
                    "queue", "host", "/q/", "service", 0, 2, 1.6, 600, false, Optional.empty());
    private static final QueueCatalog CATALOG =
            new QueueCatalog(
                    1, List.of(QUEUE), Set.of("service", "standby"), Set.of("standby"), List.of());

    private volatile long mNowMillis = TAKEOVER_MILLIS;
    private volatile CompletableFuture<HostOrderOutcome> mMove;
    private final ControlLoop mControl = new ControlLoop();
    private final Clocks mClocks = new Clocks(() -> mNowMillis, () -> mNowMillis);
    private final JobScheduler mScheduler =
            new JobScheduler(CATALOG, 2, TAKEOVER_MILLIS, 5_000, 5_000);
    private final SpareHosts mSpareHosts = spareHosts();

    @AfterTry
    void stop() {
        mControl.close();
    }

    @Example
    void noTaskStartsOnTheNextIncarnationWhileTheMoveOfItsHostMayBegin() {
        orderMove();
        readTarget(2);
        tick();
        mScheduler.restore(longRunningJob(), JobProgress.NONE, mNowMillis);
        assertThat(mScheduler.decide(mNowMillis, mNowMillis)).isEmpty();
    }

    @Example
    void theNextIncarnationIsInUseAgainIfTheMoveIsRejected() {
        orderMove();
        TargetState next = readTarget(2);
        tick();
        mMove.complete(HostOrderOutcome.REJECTED);
        awaitControl();
        assertThat(next.isCordoned()).isFalse();
    }

    @Example
    void theNextIncarnationHasEndedOnceTheMoveHasBegun() {
        orderMove();
        readTarget(2);
        mMove.complete(HostOrderOutcome.BEGUN);
        awaitControl();
        assertThat(mScheduler.targets()).isEmpty();
    }

    private void orderMove() {
        readTarget(1);
        for (int i = 0; i < 60 && mMove == null; i++) {
            tick();
        }
        assertThat(mMove).isNotNull();
    }

    private TargetState readTarget(long bornEpochMillis) {
        TargetEntry entry =
                new TargetEntry(
                        "t1",
                        bornEpochMillis,
                        "h1",
                        "service",
                        "a:1",
                        "z",
                        "r",
                        Set.of(),
                        new ResourceAmounts(8_000, 8_000, 0),
                        false);
        TargetState target = mScheduler.onTargetListed(entry, mNowMillis);
        target.setRecorded(true);
        target.setReachable(true);
        mScheduler.onReport(
                target,
                new TargetReport(bornEpochMillis, List.of(), List.of(), true),
                mNowMillis,
                mNowMillis,
                mNowMillis);
        return target;
    }

    private void tick() {
        mNowMillis += 100;
        mControl.execute(() -> mSpareHosts.tick(CATALOG, Set.of(), Set.of(), mNowMillis));
        awaitControl();
    }

    /** Waits for the tasks that the control thread has queued. */
    private void awaitControl() {
        for (int i = 0; i < 3; i++) {
            CompletableFuture.runAsync(() -> {}, mControl).orTimeout(20, TimeUnit.SECONDS).join();
        }
    }

    private SpareHosts spareHosts() {
        mScheduler.setOwnership(true, Long.MAX_VALUE);
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
                        new OwnershipLease(),
                        0,
                        () -> {},
                        () -> {});
        return new SpareHosts(
                context,
                mScheduler,
                new GroupCommit(new MemoryStore(), mControl, mClocks, 1, () -> {}),
                Optional.of(ByteString.copyFromUtf8("h1")));
    }

    private static Job longRunningJob() {
        StepSpec step =
                new StepSpec(
                        1,
                        new ResourceAmounts(1_000, 100, 0),
                        1_000,
                        List.of(),
                        new StepSpec.Placement("", "", 0, false),
                        new StepSpec.Traits(false, false, false, true, false),
                        "",
                        0,
                        1);
        return new Job("lasting", "queue", "", new JobSpec("", List.of(step), 1, false, 0, 0), 0);
    }

    @Override
    public CompletableFuture<List<HostStatus>> list() {
        return CompletableFuture.completedFuture(
                List.of(new HostStatus("h1", "service", HostState.UP, "z", "t1")));
    }

    @Override
    public CompletableFuture<HostOrderOutcome> orderMaintenance(
            String hostId, long wave, String holder, long term) {
        throw new IllegalStateException("no maintenance is expected");
    }

    @Override
    public CompletableFuture<HostOrderOutcome> orderMove(
            String hostId, String pool, String holder, long term) {
        mMove = new CompletableFuture<>();
        return mMove;
    }
}

package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
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
import org.marigoldturn.scheduling.TargetState;

/** Guards against a wait for the leases of targets whose end the host list shows. */
class UnreadTargetCheckTest implements HostClient {
    private static final long LONGEST_LEASE_MILLIS = 5_000;
    private static final long TAKEOVER_MILLIS = 100_000;

    private final ControlLoop mControl = new ControlLoop();
    private final List<HostStatus> mListed = new ArrayList<>();
    private final List<TargetState> mEnded = new ArrayList<>();
    private int mLists;
    private final JobScheduler mScheduler =
            new JobScheduler(
                    new QueueCatalog(1, List.of(), Set.of(), Set.of(), List.of()),
                    2,
                    TAKEOVER_MILLIS,
                    LONGEST_LEASE_MILLIS,
                    LONGEST_LEASE_MILLIS);
    private final UnreadTargetCheck mCheck =
            new UnreadTargetCheck(mScheduler, this, mControl, mEnded::add);

    @AfterTry
    void stop() {
        mControl.close();
    }

    @Example
    void targetsOfHostsInPlannedWorkOrWithAnotherTargetHaveEnded() throws Exception {
        TargetState inMaintenance = restore("t1", "h1");
        TargetState replaced = restore("t2", "h2");
        restore("t3", "h3");
        restore("t4", "h4");
        restore("t5", "h5");
        restore("t6", "h6");
        restore("t7", "h7");
        mListed.add(new HostStatus("h1", "service", HostState.IN_PLANNED_WORK, "z", ""));
        mListed.add(new HostStatus("h2", "service", HostState.UP, "z", "t20"));
        mListed.add(new HostStatus("h3", "service", HostState.UP, "z", "t3"));
        mListed.add(new HostStatus("h4", "service", HostState.UP, "z", ""));
        mListed.add(new HostStatus("h5", "service", HostState.DOWN, "z", ""));
        mListed.add(new HostStatus("h6", "service", HostState.UNKNOWN, "z", "t20"));
        tick(TAKEOVER_MILLIS);
        assertThat(mEnded).containsExactly(inMaintenance, replaced);
    }

    @Example
    void hostsAreListedOnlyWhileRunsAreUnknown() throws Exception {
        mScheduler.setTargetRecordsComplete(true);
        mScheduler.onTargetListed(entry("t1", "h1"), TAKEOVER_MILLIS);
        tick(TAKEOVER_MILLIS);
        assertThat(mLists).isZero();
        restore("t2", "h2");
        tick(TAKEOVER_MILLIS + 100);
        tick(TAKEOVER_MILLIS + 200);
        assertThat(mLists).isEqualTo(1);
        tick(TAKEOVER_MILLIS + 100 + UnreadTargetCheck.INTERVAL_MILLIS);
        assertThat(mLists).isEqualTo(2);
        mScheduler.setOwnership(true, TAKEOVER_MILLIS + LONGEST_LEASE_MILLIS);
        tick(TAKEOVER_MILLIS + LONGEST_LEASE_MILLIS);
        assertThat(mLists).isEqualTo(2);
    }

    private TargetState restore(String id, String host) {
        return mScheduler.restoreTarget(entry(id, host), TAKEOVER_MILLIS);
    }

    private static TargetEntry entry(String id, String host) {
        return new TargetEntry(
                id,
                1,
                host,
                "service",
                "127.0.0.1:9",
                "z",
                "r",
                Set.of("kind", "r"),
                new ResourceAmounts(8_000, 16_000, 1),
                false);
    }

    private void tick(long nowMillis) throws Exception {
        onControl(() -> mCheck.tick(nowMillis));
        onControl(() -> {});
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

    @Override
    public CompletableFuture<List<HostStatus>> list() {
        mLists++;
        return CompletableFuture.completedFuture(List.copyOf(mListed));
    }

    @Override
    public CompletableFuture<HostOrderOutcome> orderMaintenance(
            String hostId, long wave, String holder, long term) {
        throw new AssertionError("no order is expected");
    }

    @Override
    public CompletableFuture<HostOrderOutcome> orderMove(
            String hostId, String pool, String holder, long term) {
        throw new AssertionError("no order is expected");
    }
}

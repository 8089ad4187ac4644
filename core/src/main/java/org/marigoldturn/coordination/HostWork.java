package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.store.StoredValue;

/**
 * Runs the owner's planned work on hosts: maintenance waves and loans of spare hosts. Confined to
 * the control thread.
 */
final class HostWork {
    private static final long ORDER_CHECK_MILLIS = 20;

    private final OwnerContext mContext;
    private final OperatorView mOperator;
    private final JobScheduler mScheduler;
    private final GroupCommit mCommits;
    private final Map<Long, MaintenanceRunner> mWaves = new HashMap<>();
    private final Map<String, ByteString> mHostRecords = new HashMap<>();
    private SpareHosts mSpareHosts;
    private boolean mFinishing;
    private boolean mClosed;

    HostWork(
            OwnerContext context,
            OperatorView operator,
            JobScheduler scheduler,
            GroupCommit commits) {
        mContext = context;
        mOperator = operator;
        mScheduler = scheduler;
        mCommits = commits;
    }

    /** Loads the records that an earlier owner left in the store. */
    void load(List<StoredValue> hosts) {
        for (StoredValue value : hosts) {
            mCommits.recordRevision(value.key(), value.modRevision());
            mHostRecords.put(value.key(), value.value());
        }
    }

    /**
     * Begins no more work; completes once the orders for maintenance have ended, or the role has.
     */
    CompletableFuture<Void> finish() {
        mFinishing = true;
        mWaves.values().forEach(wave -> wave.setWithdrawn(true));
        CompletableFuture<Void> ended = new CompletableFuture<>();
        awaitOrders(ended);
        return ended;
    }

    private void awaitOrders(CompletableFuture<Void> ended) {
        if (mClosed || !hasOpenOrders()) {
            ended.complete(null);
            return;
        }
        mContext.control().after("host orders", ORDER_CHECK_MILLIS, () -> awaitOrders(ended));
    }

    /** Repeats no order for maintenance any more. */
    void close() {
        mClosed = true;
        mWaves.values().forEach(MaintenanceRunner::close);
    }

    /** Returns whether maintenance was ordered without a response, so that it may still begin. */
    boolean hasOpenOrders() {
        return mWaves.values().stream().anyMatch(MaintenanceRunner::hasOpenOrders);
    }

    void tick(long nowMillis) {
        if (mFinishing) {
            mWaves.values().forEach(wave -> wave.tick(nowMillis));
            return;
        }
        updateWaves();
        mWaves.values().forEach(wave -> wave.tick(nowMillis));
        tickSpareHosts(nowMillis);
    }

    /** Orders nothing; keeps tasks from starting on hosts whose maintenance may still begin. */
    void markTargets() {
        if (!mFinishing) {
            updateWaves();
        }
        mWaves.values().forEach(MaintenanceRunner::markTargets);
    }

    private void updateWaves() {
        Set<Long> listed = new HashSet<>();
        for (PlatformFormats.OperatorItem.Wave wave : mOperator.waves()) {
            listed.add(wave.number());
            mWaves.computeIfAbsent(
                    wave.number(),
                    number ->
                            new MaintenanceRunner(
                                    wave,
                                    mContext,
                                    mScheduler,
                                    mCommits,
                                    Optional.ofNullable(
                                            mHostRecords.get(StoreLayout.wave(number)))));
        }
        mWaves.forEach((number, runner) -> runner.setWithdrawn(!listed.contains(number)));
    }

    private void tickSpareHosts(long now) {
        if (mSpareHosts == null) {
            mSpareHosts =
                    new SpareHosts(
                            mContext,
                            mScheduler,
                            mCommits,
                            Optional.ofNullable(mHostRecords.get(StoreLayout.SPARE_HOSTS)));
        }
        Set<String> inMaintenance = new HashSet<>();
        mWaves.values().forEach(wave -> inMaintenance.addAll(wave.affectedHosts()));
        mSpareHosts.tick(
                mOperator.catalog().orElseThrow(), mOperator.closedZones(), inMaintenance, now);
    }
}

package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.store.StoredValue;

/**
 * The owner's work on hosts: waves of upkeep and loans of spare hosts. Confined to the control
 * thread.
 */
final class HostWork {
    private final OwnerContext mContext;
    private final OperatorView mOperator;
    private final JobScheduler mScheduler;
    private final GroupCommit mCommits;
    private final Map<Long, UpkeepRunner> mWaves = new HashMap<>();
    private final Map<String, ByteString> mHostRecords = new HashMap<>();
    private SpareHosts mSpareHosts;

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

    /** Takes the records of an earlier owner. */
    void load(List<StoredValue> hosts) {
        for (StoredValue value : hosts) {
            mCommits.noteRevision(value.key(), value.modRevision());
            mHostRecords.put(value.key(), value.value());
        }
    }

    void tick(long nowMillis) {
        tickWaves(nowMillis);
        tickSpareHosts(nowMillis);
    }

    private void tickWaves(long now) {
        for (PlatformFormats.OperatorItem.Wave wave : mOperator.waves()) {
            UpkeepRunner runner =
                    mWaves.computeIfAbsent(
                            wave.number(),
                            number ->
                                    new UpkeepRunner(
                                            wave,
                                            mContext,
                                            mScheduler,
                                            mCommits,
                                            Optional.ofNullable(
                                                    mHostRecords.get(StoreLayout.wave(number)))));
            runner.tick(now);
        }
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
        Set<String> inUpkeep = new HashSet<>();
        mWaves.values().forEach(wave -> inUpkeep.addAll(wave.openHosts()));
        mSpareHosts.tick(mOperator.catalog().orElseThrow(), mOperator.closedZones(), inUpkeep, now);
    }
}

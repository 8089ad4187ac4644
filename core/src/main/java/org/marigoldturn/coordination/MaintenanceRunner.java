package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.TargetState;
import org.tinylog.Logger;

/**
 * Carries out one maintenance wave.
 *
 * <p>A few hosts at a time get no new work. Maintenance of such a host is ordered once only
 * long-running tasks are left there, or after a wait, and if the budgets of these tasks allow it.
 * Invariants: at most {@code maxHostsDown} hosts are down for the wave, also while the response to
 * an order is missing, and the wave is completed only when maintenance has begun on each host that
 * still exists and that the order applies to. The hosts on which it has begun or may begin are
 * recorded in the store. Confined to the control thread.
 *
 * @see MaintenanceOrders
 */
final class MaintenanceRunner implements MaintenanceOrders.Listener {
    /** Short tasks mostly end within this time; maintenance ends those that are left. */
    private static final long DRAIN_WAIT_MILLIS = 3_000;

    /** Interval of log lines about hosts whose maintenance a budget delays. */
    private static final long BLOCK_LOG_INTERVAL_MILLIS = 2_000;

    /** Hosts that are drained ahead of the next maintenance. */
    private static final int DRAIN_AHEAD_HOSTS = 1;

    /** Interval of reading the host list until the wave is completed and all hosts are back. */
    private static final long LIST_INTERVAL_MILLIS = 3_000;

    private final PlatformFormats.OperatorItem.Wave mWave;
    private final JobScheduler mScheduler;
    private final HostClient mHosts;
    private final GroupCommit mCommits;
    private final PlatformFormats mFormats;
    private final ControlLoop mControl;
    private final Clocks mClocks;
    private final MaintenanceOrders mOrders;
    private final Set<String> mRemainingHosts;
    private final Set<String> mBegunHosts = new TreeSet<>();
    private final Map<String, Down> mDownHosts = new HashMap<>();
    private final Map<String, Long> mCordonedSinceMillis = new HashMap<>();
    private final Map<String, HostClient.HostStatus> mListed = new HashMap<>();
    private long mListedMillis = Long.MIN_VALUE / 2;
    private long mBlockLoggedMillis = Long.MIN_VALUE / 2;
    private boolean mReportedRunning;
    private boolean mCompleted;
    private boolean mWithdrawn;

    /**
     * A host on which maintenance has begun.
     *
     * @param target target that ran there before; null if none was known
     * @param begunMillis monotonic time of the response to the order; 0 if an earlier owner
     *     received it
     */
    private record Down(TargetState target, long begunMillis) {}

    MaintenanceRunner(
            PlatformFormats.OperatorItem.Wave wave,
            OwnerContext context,
            JobScheduler scheduler,
            GroupCommit commits,
            Optional<ByteString> record) {
        mWave = wave;
        mScheduler = scheduler;
        mHosts = context.hosts();
        mCommits = commits;
        mFormats = context.formats();
        mControl = context.control();
        mClocks = context.clocks();
        mOrders = new MaintenanceOrders(wave.number(), context, this);
        mRemainingHosts = new TreeSet<>(wave.hostIds());
        record.map(MaintenanceRecord::decode).ifPresent(this::restore);
    }

    private void restore(MaintenanceRecord record) {
        for (String host : record.begunHosts()) {
            if (mRemainingHosts.remove(host)) {
                mBegunHosts.add(host);
                // The host may still be down; it counts as down until its target
                // responds or the host list settles it.
                mDownHosts.put(host, new Down(null, 0));
            }
        }
        for (String host : record.orderedHosts()) {
            if (mRemainingHosts.contains(host)) {
                mOrders.restore(host);
                mCordonedSinceMillis.put(host, mClocks.now());
            }
        }
    }

    /** Sends no order any more. */
    void close() {
        mOrders.close();
    }

    /** Returns whether an order has got no response, so that the maintenance may still begin. */
    boolean hasOpenOrders() {
        return !mOrders.hosts().isEmpty();
    }

    /** Returns the hosts that are being prepared for maintenance or are down for it. */
    Set<String> affectedHosts() {
        Set<String> affected = new HashSet<>(mCordonedSinceMillis.keySet());
        affected.addAll(mDownHosts.keySet());
        return affected;
    }

    void tick(long nowMillis) {
        if (mCompleted && mDownHosts.isEmpty()) {
            return;
        }
        if (!mReportedRunning) {
            mReportedRunning = true;
            mCommits.put(mFormats.waveStatusKey(mWave.number()), mFormats.waveStatus(false));
            readHosts(nowMillis);
        }
        mDownHosts.entrySet().removeIf(down -> isBack(down.getKey(), down.getValue()));
        markTargets();
        mOrders.repeat(nowMillis);
        boolean hostsLeft = !mRemainingHosts.isEmpty();
        if (hostsLeft && !mWithdrawn) {
            cordonHosts(nowMillis);
            orderMaintenance(nowMillis);
        } else if (!hostsLeft && !mCompleted && !mWithdrawn) {
            complete();
        }
        if (nowMillis - mListedMillis >= LIST_INTERVAL_MILLIS) {
            readHosts(nowMillis);
        }
    }

    /**
     * Sets whether the operator has removed the wave, or the owner leaves. No further maintenance
     * is ordered then; what has been ordered is followed to its end.
     */
    void setWithdrawn(boolean withdrawn) {
        mWithdrawn = withdrawn;
        if (withdrawn) {
            mOrders.withdrawUnsent();
            for (String host : Set.copyOf(mCordonedSinceMillis.keySet())) {
                if (!mOrders.isOpen(host)) {
                    mCordonedSinceMillis.remove(host);
                    setCordoned(host, false);
                }
            }
        }
    }

    private boolean isBack(String host, Down down) {
        TargetState target = targetOn(host);
        return target != null
                && target.isReachable()
                && (down.target() == null
                        || !target.entry().isSameIncarnation(down.target().entry()));
    }

    private void complete() {
        mCompleted = true;
        Logger.info("upkeep: event=completed wave={} hosts={}", mWave.number(), mBegunHosts.size());
        mCommits.put(mFormats.waveStatusKey(mWave.number()), mFormats.waveStatus(true));
    }

    private void cordonHosts(long nowMillis) {
        int wanted = mWave.maxHostsDown() + DRAIN_AHEAD_HOSTS;
        for (String host : mRemainingHosts) {
            if (mCordonedSinceMillis.size() >= wanted) {
                return;
            }
            if (mCordonedSinceMillis.putIfAbsent(host, nowMillis) == null) {
                setCordoned(host, true);
            }
        }
    }

    /** Marks the present targets of the hosts, since a target can restart under its id. */
    void markTargets() {
        mCordonedSinceMillis.keySet().forEach(host -> setCordoned(host, true));
        mOrders.hosts().forEach(host -> setInterrupted(host, true));
    }

    private void setInterrupted(String host, boolean interrupted) {
        mScheduler.targetOn(host).ifPresent(target -> target.setInterrupted(interrupted));
    }

    private void setCordoned(String host, boolean cordoned) {
        mScheduler.targetOn(host).ifPresent(target -> target.setCordoned(cordoned));
    }

    private void orderMaintenance(long nowMillis) {
        for (Map.Entry<String, Long> cordoned : Map.copyOf(mCordonedSinceMillis).entrySet()) {
            String host = cordoned.getKey();
            if (mDownHosts.size() + mOrders.hosts().size() >= mWave.maxHostsDown()) {
                return;
            }
            if (!mOrders.isOpen(host)
                    && !isDown(host)
                    && hasDrained(host, cordoned.getValue(), nowMillis)
                    && isAllowed(host, nowMillis)) {
                setInterrupted(host, true);
                mOrders.open(host, nowMillis);
            }
        }
    }

    /**
     * Returns whether the host may have a target whose entry is only missing for now: the host list
     * shows one or has not been read.
     */
    private boolean mayHaveTarget(String host) {
        HostClient.HostStatus status = mListed.get(host);
        return mListed.isEmpty() || (status != null && !status.targetId().isEmpty());
    }

    /** Returns whether the host service would refuse an order since the host is down. */
    private boolean isDown(String host) {
        HostClient.HostStatus status = mListed.get(host);
        return targetOn(host) == null && status != null && status.down();
    }

    private boolean hasDrained(String host, long cordonedSinceMillis, long nowMillis) {
        TargetState target = targetOn(host);
        return target == null
                || nowMillis - cordonedSinceMillis >= DRAIN_WAIT_MILLIS
                || mScheduler.interruptions().hasOnlyLongRunningTasks(target);
    }

    /** Returns whether maintenance may end now what runs on the host. */
    private boolean isAllowed(String host, long nowMillis) {
        TargetState target = targetOn(host);
        return target == null
                ? !mayHaveTarget(host)
                : mScheduler.knowsRuns(target, nowMillis) && !isBlocked(host, target, nowMillis);
    }

    private boolean isBlocked(String host, TargetState target, long nowMillis) {
        Optional<String> blockingStep = mScheduler.interruptions().describeBlockingStep(target);
        if (blockingStep.isPresent()) {
            mScheduler
                    .interruptions()
                    .relocateOne(target, nowMillis)
                    .ifPresent(
                            run ->
                                    Logger.info(
                                            "upkeep: event=relocate host={} id={} step={} index={}",
                                            host,
                                            run.task().jobId(),
                                            run.task().step(),
                                            run.task().index()));
        }
        if (blockingStep.isPresent()
                && nowMillis - mBlockLoggedMillis >= BLOCK_LOG_INTERVAL_MILLIS) {
            mBlockLoggedMillis = nowMillis;
            Logger.info(
                    "upkeep: event=blocked wave={} host={} {}",
                    mWave.number(),
                    host,
                    blockingStep.get());
        }
        return blockingStep.isPresent();
    }

    @Override
    public CompletableFuture<Void> recordOrders() {
        return mCommits.put(
                StoreLayout.wave(mWave.number()),
                new MaintenanceRecord(mBegunHosts, mOrders.hosts()).encode());
    }

    /** Leaves out of account that the runs on the host count as unavailable for its order. */
    @Override
    public boolean mayBegin(String host, long nowMillis) {
        setInterrupted(host, false);
        boolean allowed = isAllowed(host, nowMillis);
        setInterrupted(host, true);
        return allowed;
    }

    @Override
    public void onOutcome(String host, HostClient.HostOrderOutcome outcome) {
        if (outcome == HostClient.HostOrderOutcome.BEGUN) {
            onBegun(host);
        } else {
            setInterrupted(host, false);
            if (outcome == HostClient.HostOrderOutcome.REJECTED) {
                drop(host);
            } else {
                // The host is moving, down or leaving, and is tried again later.
                requestList();
            }
        }
        recordOrders();
    }

    @Override
    public void requestList() {
        mListedMillis = Long.MIN_VALUE / 2;
    }

    private void onBegun(String host) {
        mRemainingHosts.remove(host);
        mCordonedSinceMillis.remove(host);
        mBegunHosts.add(host);
        // An order that was carried out for an earlier owner gets the same response; the host may
        // then be in use again, which the host list shows.
        mDownHosts.put(host, new Down(targetOn(host), mClocks.now()));
        requestList();
    }

    private void drop(String host) {
        mRemainingHosts.remove(host);
        mCordonedSinceMillis.remove(host);
        setCordoned(host, false);
    }

    private void readHosts(long nowMillis) {
        mListedMillis = nowMillis;
        mHosts.list()
                .whenComplete(
                        (hosts, failure) ->
                                mControl.execute(
                                        () -> {
                                            if (failure == null) {
                                                onHosts(hosts, nowMillis);
                                            } else {
                                                Logger.warn(
                                                        "upkeep: event=list-failed cause={}",
                                                        failure.getMessage());
                                            }
                                        }));
    }

    /**
     * Drops hosts that no longer exist. A host on which maintenance has begun stops counting
     * against {@code maxHostsDown} once the list shows that it is in use, gone, or down rather than
     * in maintenance.
     */
    private void onHosts(List<HostClient.HostStatus> hosts, long askedMillis) {
        mListed.clear();
        hosts.forEach(host -> mListed.put(host.hostId(), host));
        for (String host : Set.copyOf(mRemainingHosts)) {
            if (!mListed.containsKey(host) && !mOrders.isOpen(host)) {
                Logger.info("upkeep: event=host-gone wave={} host={}", mWave.number(), host);
                drop(host);
            }
        }
        hosts.forEach(host -> mOrders.onListed(host.hostId(), host, askedMillis));
        for (Map.Entry<String, Down> down : Map.copyOf(mDownHosts).entrySet()) {
            if (askedMillis > down.getValue().begunMillis()) {
                onListed(down.getKey(), down.getValue(), mListed.get(down.getKey()));
            }
        }
    }

    /** Ends the former target of a host that counts as down, or finds that the host is in use. */
    private void onListed(String host, Down down, HostClient.HostStatus status) {
        TargetState target = down.target();
        boolean up = status != null && status.up();
        boolean sameTarget = up && target != null && status.targetId().equals(target.entry().id());
        if (sameTarget && !target.isReachable()) {
            // The host list and the target's session disagree; the next list decides.
            return;
        }
        if (sameTarget) {
            // Maintenance had ended before; the target was not interrupted.
            target.setInterrupted(false);
            target.setCordoned(false);
        } else if (target != null) {
            mScheduler.onTargetEnded(target, mClocks.now());
        }
        if (up || status == null || status.down()) {
            mDownHosts.remove(host);
        }
    }

    private TargetState targetOn(String host) {
        return mScheduler.targetOn(host).orElse(null);
    }
}

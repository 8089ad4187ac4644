package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
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
 * still exists and that the order applies to. The hosts on which it has begun are recorded in the
 * store. Confined to the control thread.
 */
final class MaintenanceRunner {
    /** Short tasks mostly end within this time; maintenance ends those that are left. */
    private static final long DRAIN_WAIT_MILLIS = 3_000;

    private static final long RETRY_MILLIS = 1_000;

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
    private final OwnershipLease mOwnershipLease;
    private final String mHolder;
    private final long mTerm;
    private final Runnable mOnFenced;
    private final Set<String> mRemainingHosts;
    private final Set<String> mBegunHosts = new TreeSet<>();
    private final Map<String, Down> mDownHosts = new HashMap<>();
    private final Map<String, Long> mCordonedSinceMillis = new HashMap<>();
    private final Set<String> mOrderedHosts = new HashSet<>();
    private final Map<String, HostClient.HostStatus> mListed = new HashMap<>();
    private long mListedMillis = Long.MIN_VALUE / 2;
    private long mBlockLoggedMillis = Long.MIN_VALUE / 2;
    private boolean mReportedRunning;
    private boolean mCompleted;
    private boolean mWithdrawn;
    private boolean mClosed;

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
        mOwnershipLease = context.ownershipLease();
        mHolder = context.self().host();
        mTerm = context.term();
        mOnFenced = context.onFenced();
        mRemainingHosts = new TreeSet<>(wave.hostIds());
        record.ifPresent(this::restore);
    }

    private void restore(ByteString record) {
        for (String host : record.toStringUtf8().split("\n", -1)) {
            if (mRemainingHosts.remove(host)) {
                mBegunHosts.add(host);
                // The host may still be down; it counts as down until its target
                // responds or the host list settles it.
                mDownHosts.put(host, new Down(null, 0));
            }
        }
    }

    boolean isCompleted() {
        return mCompleted;
    }

    /** Repeats no order any more. */
    void close() {
        mClosed = true;
    }

    /** Returns whether an order has got no response, so that the maintenance may still begin. */
    boolean hasOpenOrders() {
        return !mOrderedHosts.isEmpty();
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
        boolean hostsLeft = !mRemainingHosts.isEmpty() || !mOrderedHosts.isEmpty();
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
     * Sets whether the operator has removed the wave. No further maintenance is ordered then; what
     * has been ordered is followed to its end.
     */
    void setWithdrawn(boolean withdrawn) {
        mWithdrawn = withdrawn;
        if (withdrawn) {
            for (String host : Set.copyOf(mCordonedSinceMillis.keySet())) {
                if (!mOrderedHosts.contains(host)) {
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
    private void markTargets() {
        mCordonedSinceMillis.keySet().forEach(host -> setCordoned(host, true));
        mOrderedHosts.forEach(host -> setInterrupted(host, true));
    }

    private void setInterrupted(String host, boolean interrupted) {
        TargetState target = targetOn(host);
        if (target != null) {
            target.setInterrupted(interrupted);
        }
    }

    private void setCordoned(String host, boolean cordoned) {
        TargetState target = targetOn(host);
        if (target != null) {
            target.setCordoned(cordoned);
        }
    }

    private void orderMaintenance(long nowMillis) {
        for (Map.Entry<String, Long> cordoned : Map.copyOf(mCordonedSinceMillis).entrySet()) {
            String host = cordoned.getKey();
            if (mDownHosts.size() + mOrderedHosts.size() >= mWave.maxHostsDown()) {
                return;
            }
            if (!mOrderedHosts.contains(host)
                    && hasDrained(host, cordoned.getValue(), nowMillis)
                    && mayBegin(host, nowMillis)) {
                mOrderedHosts.add(host);
                setInterrupted(host, true);
                send(host);
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

    private boolean hasDrained(String host, long cordonedSinceMillis, long nowMillis) {
        TargetState target = targetOn(host);
        return target == null
                || nowMillis - cordonedSinceMillis >= DRAIN_WAIT_MILLIS
                || mScheduler.interruptions().hasOnlyLongRunningTasks(target);
    }

    /** Returns whether maintenance may end now what runs on the host. */
    private boolean mayBegin(String host, long nowMillis) {
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

    /**
     * Repeats an order that got no response, once no other daemon can be the owner and the budgets
     * of the present target's tasks allow it.
     */
    private void retry(String host) {
        if (mClosed) {
            return;
        }
        if (!mOwnershipLease.isCertain(mClocks.now(), mClocks.epoch())) {
            retryLater(host);
            return;
        }
        setInterrupted(host, false);
        boolean mayBegin = mayBegin(host, mClocks.now());
        setInterrupted(host, true);
        if (mayBegin) {
            send(host);
        } else {
            retryLater(host);
        }
    }

    private void retryLater(String host) {
        mControl.after("maintenance retry", RETRY_MILLIS, () -> retry(host));
    }

    private void send(String host) {
        mHosts.orderMaintenance(host, mWave.number(), mHolder, mTerm)
                .whenComplete(
                        (outcome, failure) ->
                                mControl.execute(() -> onResponse(host, outcome, failure)));
    }

    private void onResponse(String host, HostClient.HostOrderOutcome outcome, Throwable failure) {
        Logger.info(
                "upkeep: event=answer wave={} host={} outcome={} cause={}",
                mWave.number(),
                host,
                outcome,
                failure == null ? "-" : failure.getMessage());
        if (failure != null || outcome == HostClient.HostOrderOutcome.UNKNOWN) {
            // Maintenance may have begun: the host still counts as down, and the order is repeated,
            // which is safe.
            retryLater(host);
            return;
        }
        mOrderedHosts.remove(host);
        if (outcome != HostClient.HostOrderOutcome.BEGUN) {
            setInterrupted(host, false);
        }
        switch (outcome) {
            case BEGUN -> onBegun(host);
            case FENCED -> mOnFenced.run();
            case REJECTED -> drop(host);
            default ->
                    // Busy: the host is moving, down or leaving, and is tried again later.
                    mListedMillis = Long.MIN_VALUE / 2;
        }
    }

    private void onBegun(String host) {
        mRemainingHosts.remove(host);
        mCordonedSinceMillis.remove(host);
        mBegunHosts.add(host);
        // An order that was carried out for an earlier owner gets the same response; the host may
        // then be in use again, which the host list shows.
        mDownHosts.put(host, new Down(targetOn(host), mClocks.now()));
        mListedMillis = Long.MIN_VALUE / 2;
        mCommits.put(
                StoreLayout.wave(mWave.number()),
                ByteString.copyFromUtf8(String.join("\n", mBegunHosts)));
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
            if (!mListed.containsKey(host) && !mOrderedHosts.contains(host)) {
                Logger.info("upkeep: event=host-gone wave={} host={}", mWave.number(), host);
                drop(host);
            }
        }
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

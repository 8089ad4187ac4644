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
 * Carries out one wave of upkeep.
 *
 * <p>A few hosts at a time get no new work; once only lasting tasks are left there, or after a
 * wait, and if the budgets of these tasks allow it, the upkeep is ordered. Invariants: at most
 * {@code atOnce} hosts are down for the wave, also while the answer to an order is missing, and the
 * wave is completed only when each host that still exists has begun. What has begun is recorded in
 * the store. Confined to the control thread.
 */
final class UpkeepRunner {
    /** Short tasks mostly end within this time; what is left then is ended by the upkeep. */
    private static final long DRAIN_WAIT_MILLIS = 3_000;

    private static final long RETRY_MILLIS = 1_000;

    /** Bounds the lines about hosts whose upkeep a budget holds up. */
    private static final long BLOCK_LOG_MILLIS = 2_000;

    /** Hosts that are emptied ahead of the next upkeep. */
    private static final int AHEAD = 1;

    /** The list of hosts is read again after this time while hosts are not back. */
    private static final long LIST_INTERVAL_MILLIS = 3_000;

    private final PlatformFormats.OperatorItem.Wave mWave;
    private final JobScheduler mScheduler;
    private final HostClient mHosts;
    private final GroupCommit mCommits;
    private final PlatformFormats mFormats;
    private final ControlLoop mControl;
    private final Clocks mClocks;
    private final String mHolder;
    private final long mTerm;
    private final Runnable mOnFenced;
    private final Set<String> mRemaining;
    private final Set<String> mBegun = new TreeSet<>();
    private final Map<String, Down> mDown = new HashMap<>();
    private final Map<String, Long> mClosingSinceMillis = new HashMap<>();
    private final Set<String> mOrdered = new HashSet<>();
    private final Map<String, HostClient.HostStatus> mListed = new HashMap<>();
    private long mListedMillis = Long.MIN_VALUE / 2;
    private long mBlockLoggedMillis = Long.MIN_VALUE / 2;
    private boolean mReportedRunning;
    private boolean mCompleted;

    /**
     * A host whose upkeep was answered as begun.
     *
     * @param target target that ran there before; null if none was known
     * @param begunMillis monotonic time of the answer; 0 if an earlier owner had it
     */
    private record Down(TargetState target, long begunMillis) {}

    UpkeepRunner(
            PlatformFormats.OperatorItem.Wave wave,
            OwnerContext owner,
            JobScheduler scheduler,
            GroupCommit commits,
            Optional<ByteString> record) {
        mWave = wave;
        mScheduler = scheduler;
        mHosts = owner.hosts();
        mCommits = commits;
        mFormats = owner.formats();
        mControl = owner.control();
        mClocks = owner.clocks();
        mHolder = owner.self().host();
        mTerm = owner.term();
        mOnFenced = owner.onFenced();
        mRemaining = new TreeSet<>(wave.hostIds());
        record.ifPresent(this::restore);
    }

    private void restore(ByteString record) {
        for (String host : record.toStringUtf8().split("\n", -1)) {
            if (mRemaining.remove(host)) {
                mBegun.add(host);
                // The host may still be down; it counts until its target is seen.
                mDown.put(host, new Down(null, 0));
            }
        }
    }

    boolean isCompleted() {
        return mCompleted;
    }

    /** Returns the hosts that are about to get their upkeep or are down for it. */
    Set<String> openHosts() {
        Set<String> open = new HashSet<>(mClosingSinceMillis.keySet());
        open.addAll(mDown.keySet());
        return open;
    }

    void tick(long nowMillis) {
        if (mCompleted && mDown.isEmpty()) {
            return;
        }
        if (!mReportedRunning) {
            mReportedRunning = true;
            mCommits.put(mFormats.waveStatusKey(mWave.number()), mFormats.waveStatus(false));
            readHosts(nowMillis);
        }
        mDown.entrySet().removeIf(down -> isBack(down.getKey(), down.getValue()));
        if (!mRemaining.isEmpty() || !mOrdered.isEmpty()) {
            closeHosts(nowMillis);
            orderUpkeeps(nowMillis);
        } else if (!mCompleted) {
            complete();
        }
        if (nowMillis - mListedMillis >= LIST_INTERVAL_MILLIS) {
            readHosts(nowMillis);
        }
    }

    private boolean isBack(String host, Down down) {
        TargetState target = targetOn(host);
        return target != null
                && target.isReachable()
                && (down.target() == null || !target.entry().isSameLife(down.target().entry()));
    }

    private void complete() {
        mCompleted = true;
        Logger.info("upkeep: event=completed wave={} hosts={}", mWave.number(), mBegun.size());
        mCommits.put(mFormats.waveStatusKey(mWave.number()), mFormats.waveStatus(true));
    }

    private void closeHosts(long nowMillis) {
        int wanted = mWave.atOnce() + AHEAD;
        for (String host : mRemaining) {
            if (mClosingSinceMillis.size() >= wanted) {
                return;
            }
            if (mClosingSinceMillis.putIfAbsent(host, nowMillis) == null) {
                setClosing(host, true);
            }
        }
    }

    private void setClosing(String host, boolean closing) {
        TargetState target = targetOn(host);
        if (target != null) {
            target.setClosing(closing);
        }
    }

    private void orderUpkeeps(long nowMillis) {
        for (Map.Entry<String, Long> closing : Map.copyOf(mClosingSinceMillis).entrySet()) {
            String host = closing.getKey();
            if (mDown.size() + mOrdered.size() >= mWave.atOnce()) {
                return;
            }
            if (mOrdered.contains(host)) {
                continue;
            }
            TargetState target = targetOn(host);
            if (target == null
                    ? hasTarget(host)
                    : !isReady(host, target, closing.getValue(), nowMillis)) {
                continue;
            }
            order(host, target);
        }
    }

    /** Returns whether the list shows a target there, whose entry is then only missing for now. */
    private boolean hasTarget(String host) {
        HostClient.HostStatus status = mListed.get(host);
        return status == null || !status.targetId().isEmpty();
    }

    private boolean isReady(
            String host, TargetState target, long closingSinceMillis, long nowMillis) {
        target.setClosing(true);
        boolean waited = nowMillis - closingSinceMillis >= DRAIN_WAIT_MILLIS;
        return mScheduler.knowsRuns(target, nowMillis)
                && (mScheduler.interruptions().isQuiet(target) || waited)
                && !isBlocked(host, target, nowMillis);
    }

    private boolean isBlocked(String host, TargetState target, long nowMillis) {
        Optional<String> blocker = mScheduler.interruptions().blocker(target);
        if (blocker.isPresent()) {
            mScheduler
                    .interruptions()
                    .relocateOne(target)
                    .ifPresent(
                            run ->
                                    Logger.info(
                                            "upkeep: event=relocate host={} id={} step={} index={}",
                                            host,
                                            run.task().jobId(),
                                            run.task().step(),
                                            run.task().index()));
        }
        if (blocker.isPresent() && nowMillis - mBlockLoggedMillis >= BLOCK_LOG_MILLIS) {
            mBlockLoggedMillis = nowMillis;
            Logger.info(
                    "upkeep: event=blocked wave={} host={} {}",
                    mWave.number(),
                    host,
                    blocker.get());
        }
        return blocker.isPresent();
    }

    private void order(String host, TargetState target) {
        mOrdered.add(host);
        if (target != null) {
            target.setInterrupted(true);
        }
        send(host, target);
    }

    /** Repeats an order without an answer once the budgets allow it again. */
    private void retry(String host, TargetState target) {
        if (target != null) {
            target.setInterrupted(false);
            boolean blocked = isBlocked(host, target, mClocks.now());
            target.setInterrupted(true);
            if (blocked) {
                mControl.after("upkeep retry", RETRY_MILLIS, () -> retry(host, target));
                return;
            }
        }
        send(host, target);
    }

    private void send(String host, TargetState target) {
        mHosts.upkeep(host, mWave.number(), mHolder, mTerm)
                .whenComplete(
                        (outcome, failure) ->
                                mControl.execute(() -> onAnswer(host, target, outcome, failure)));
    }

    private void onAnswer(
            String host,
            TargetState target,
            HostClient.HostOrderOutcome outcome,
            Throwable failure) {
        Logger.info(
                "upkeep: event=answer wave={} host={} outcome={} cause={}",
                mWave.number(),
                host,
                outcome,
                failure == null ? "-" : failure.getMessage());
        if (failure != null || outcome == HostClient.HostOrderOutcome.UNKNOWN) {
            // It may have begun: the host keeps its place and the order, which is safe to repeat.
            mControl.after("upkeep retry", RETRY_MILLIS, () -> retry(host, target));
            return;
        }
        mOrdered.remove(host);
        if (target != null && outcome != HostClient.HostOrderOutcome.BEGUN) {
            target.setInterrupted(false);
        }
        switch (outcome) {
            case BEGUN -> onBegun(host, target);
            case FENCED -> mOnFenced.run();
            case REJECTED -> drop(host);
            default ->
                    // Busy: the host is moving, down or leaving; its turn comes again.
                    mListedMillis = Long.MIN_VALUE / 2;
        }
    }

    private void onBegun(String host, TargetState target) {
        mRemaining.remove(host);
        mClosingSinceMillis.remove(host);
        mBegun.add(host);
        // The answer is the same if an earlier owner had carried it out: the list tells.
        mDown.put(host, new Down(target, mClocks.now()));
        mListedMillis = Long.MIN_VALUE / 2;
        mCommits.put(
                StoreLayout.wave(mWave.number()),
                ByteString.copyFromUtf8(String.join("\n", mBegun)));
    }

    private void drop(String host) {
        mRemaining.remove(host);
        mClosingSinceMillis.remove(host);
        setClosing(host, false);
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

    /** Drops hosts that no longer exist, and those down for good from the count of those down. */
    private void onHosts(List<HostClient.HostStatus> hosts, long askedMillis) {
        mListed.clear();
        hosts.forEach(host -> mListed.put(host.hostId(), host));
        for (String host : Set.copyOf(mRemaining)) {
            if (!mListed.containsKey(host) && !mOrdered.contains(host)) {
                Logger.info("upkeep: event=host-gone wave={} host={}", mWave.number(), host);
                drop(host);
            }
        }
        for (Map.Entry<String, Down> down : Map.copyOf(mDown).entrySet()) {
            if (askedMillis > down.getValue().begunMillis()) {
                onListed(down.getKey(), down.getValue(), mListed.get(down.getKey()));
            }
        }
    }

    /** Ends the target of a host that is down, or finds that the host is in use. */
    private void onListed(String host, Down down, HostClient.HostStatus status) {
        TargetState target = down.target();
        boolean up = status != null && status.up();
        boolean sameTarget = up && target != null && status.targetId().equals(target.entry().id());
        if (sameTarget && !target.isReachable()) {
            // The list and the target disagree; the next list settles it.
            return;
        }
        if (sameTarget) {
            target.setInterrupted(false);
            target.setClosing(false);
        } else if (target != null) {
            mScheduler.onTargetEnded(target);
        }
        if (up || status == null || status.lost()) {
            mDown.remove(host);
        }
    }

    private TargetState targetOn(String host) {
        for (TargetState target : mScheduler.targets()) {
            if (target.entry().hostId().equals(host) && target.isListed()) {
                return target;
            }
        }
        return null;
    }
}

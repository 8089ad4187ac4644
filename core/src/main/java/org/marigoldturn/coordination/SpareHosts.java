package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.LoanPolicy;
import org.marigoldturn.scheduling.TargetState;
import org.tinylog.Logger;

/**
 * Moves spare hosts between pools as {@link LoanPolicy} decides.
 *
 * <p>A host is spare if the host list has ever shown it in a standby pool. The set of spare hosts
 * is kept in the store, so that a new owner knows the hosts on loan. Hosts in a running maintenance
 * wave and hosts with tasks are not moved. Confined to the control thread.
 */
final class SpareHosts {
    /**
     * Interval of reading the host list; responses to move orders are applied without waiting for
     * it.
     */
    private static final long LIST_INTERVAL_MILLIS = 5_000;

    /** A moved host's target is expected within this time; afterwards the host list decides. */
    private static final long ARRIVAL_TIMEOUT_MILLIS = 4_000;

    /** Interval of reading the host list while it is to settle an overdue move. */
    private static final long LIST_RETRY_MILLIS = 1_000;

    private final OwnerContext mContext;
    private final JobScheduler mScheduler;
    private final GroupCommit mCommits;
    private final Set<String> mSpare = new TreeSet<>();
    private final Map<String, HostClient.HostStatus> mListed = new HashMap<>();
    private final Map<String, Transfer> mTransfers = new HashMap<>();
    private final Map<String, Long> mIdleSinceMillis = new HashMap<>();
    private long mListedMillis = Long.MIN_VALUE / 2;
    private long mListRequestedMillis = Long.MIN_VALUE / 2;
    private long mAssumedCpuMillicores;
    private boolean mListing;

    /** A move that was ordered and whose target has not appeared yet. */
    private record Transfer(String toPool, long orderedMillis) {}

    SpareHosts(
            OwnerContext context,
            JobScheduler scheduler,
            GroupCommit commits,
            Optional<ByteString> record) {
        mContext = context;
        mScheduler = scheduler;
        mCommits = commits;
        record.ifPresent(known -> mSpare.addAll(known.toStringUtf8().lines().toList()));
    }

    void tick(
            QueueCatalog catalog, Set<String> closedZones, Set<String> busyHosts, long nowMillis) {
        if (catalog.standbyServices().isEmpty()) {
            return;
        }
        String standby = catalog.standbyServices().iterator().next();
        readHosts(catalog, nowMillis);
        mAssumedCpuMillicores = leastCpuMillicores();
        List<LoanPolicy.SpareHost> movable = new ArrayList<>();
        for (String host : mSpare) {
            followTransfer(host, busyHosts.contains(host), nowMillis);
            boolean closed =
                    mListed.containsKey(host) && closedZones.contains(mListed.get(host).zone());
            if (!mTransfers.containsKey(host) && !busyHosts.contains(host) && !closed) {
                spareHost(host, standby, nowMillis).ifPresent(movable::add);
            }
        }
        mScheduler.setIncomingCapacity(incoming(standby));
        for (LoanPolicy.Move move :
                LoanPolicy.decide(
                        mScheduler.serviceLoads(nowMillis, mContext.clocks().epoch()),
                        movable,
                        standby,
                        nowMillis)) {
            orderMove(move, nowMillis);
        }
    }

    private void followTransfer(String host, boolean inMaintenance, long nowMillis) {
        Transfer transfer = mTransfers.get(host);
        TargetState target = targetOn(host);
        if (target != null) {
            // A spare host that has a target is on loan.
            target.setLoaned(true);
        }
        if (transfer == null) {
            return;
        }
        boolean arrived = target != null && target.entry().service().equals(transfer.toPool());
        boolean overdue = nowMillis - transfer.orderedMillis() >= ARRIVAL_TIMEOUT_MILLIS;
        if (!arrived) {
            // The target can restart under its id while the move may still begin.
            setInUse(target, false);
        }
        if (arrived) {
            mTransfers.remove(host);
        } else if (overdue && (target == null || !isListedSince(target, transfer))) {
            // The next list tells where the host is.
            mListedMillis =
                    Math.min(mListedMillis, nowMillis - LIST_INTERVAL_MILLIS + LIST_RETRY_MILLIS);
            if (target == null) {
                mTransfers.remove(host);
            }
        } else if (overdue) {
            mTransfers.remove(host);
            if (!inMaintenance) {
                setInUse(target, true);
            }
        }
    }

    /** Returns whether a list that was requested after the order shows the target on its host. */
    private boolean isListedSince(TargetState target, Transfer transfer) {
        HostClient.HostStatus status = mListed.get(target.entry().hostId());
        return mListRequestedMillis > transfer.orderedMillis()
                && status != null
                && status.up()
                && status.targetId().equals(target.entry().id());
    }

    /** Lets tasks start on a target, or none any more since the move of its host is ordered. */
    private static void setInUse(TargetState target, boolean inUse) {
        if (target != null) {
            target.setCordoned(!inUse);
            target.setInterrupted(!inUse);
        }
    }

    /** Returns the host if it can be moved now; a host on which something runs cannot. */
    private Optional<LoanPolicy.SpareHost> spareHost(String host, String standby, long nowMillis) {
        TargetState target = targetOn(host);
        if (target == null) {
            HostClient.HostStatus listed = mListed.get(host);
            boolean onStandby = listed != null && listed.up() && listed.pool().equals(standby);
            return onStandby
                    ? Optional.of(
                            new LoanPolicy.SpareHost(
                                    host, standby, mAssumedCpuMillicores, nowMillis))
                    : Optional.empty();
        }
        if (!target.isIdle() || !target.isReachable()) {
            mIdleSinceMillis.remove(host);
            return Optional.empty();
        }
        long since = mIdleSinceMillis.computeIfAbsent(host, h -> nowMillis);
        return Optional.of(
                new LoanPolicy.SpareHost(
                        host,
                        target.entry().service(),
                        target.entry().capacity().cpuMillicores(),
                        since));
    }

    private Map<String, ResourceAmounts> incoming(String standby) {
        Map<String, ResourceAmounts> incoming = new HashMap<>();
        for (Transfer transfer : mTransfers.values()) {
            if (!transfer.toPool().equals(standby)) {
                ResourceAmounts capacity = new ResourceAmounts(mAssumedCpuMillicores, 0, 0);
                incoming.merge(transfer.toPool(), capacity, ResourceAmounts::plus);
            }
        }
        return incoming;
    }

    /**
     * Returns the least CPU capacity of all targets, which is assumed of a host on standby, since
     * it has no target.
     */
    private long leastCpuMillicores() {
        return mScheduler.targets().stream()
                .mapToLong(target -> target.entry().capacity().cpuMillicores())
                .min()
                .orElse(0);
    }

    private void orderMove(LoanPolicy.Move move, long nowMillis) {
        setInUse(targetOn(move.hostId()), false);
        mTransfers.put(move.hostId(), new Transfer(move.toPool(), nowMillis));
        mIdleSinceMillis.remove(move.hostId());
        mContext.hosts()
                .orderMove(move.hostId(), move.toPool(), mContext.self().host(), mContext.term())
                .whenComplete(
                        (outcome, failure) ->
                                mContext.control()
                                        .execute(() -> onMoveResponse(move, outcome, failure)));
    }

    private void onMoveResponse(
            LoanPolicy.Move move, HostClient.HostOrderOutcome outcome, Throwable failure) {
        Logger.info(
                "loan: event=move host={} to={} reason=\"{}\" outcome={} cause={}",
                move.hostId(),
                move.toPool(),
                move.reason(),
                outcome,
                failure == null ? "-" : failure.getMessage());
        TargetState target = targetOn(move.hostId());
        if (outcome == HostClient.HostOrderOutcome.BEGUN) {
            if (target != null && !target.entry().service().equals(move.toPool())) {
                mScheduler.onTargetEnded(target, mContext.clocks().now());
            }
            HostClient.HostStatus listed = mListed.get(move.hostId());
            if (listed != null) {
                // Until the next list the host counts as having arrived in its new pool.
                mListed.put(
                        move.hostId(),
                        new HostClient.HostStatus(
                                move.hostId(),
                                move.toPool(),
                                HostClient.HostState.UP,
                                listed.zone(),
                                ""));
            }
            return;
        }
        if (outcome == HostClient.HostOrderOutcome.FENCED) {
            mContext.onFenced().run();
            return;
        }
        // The host list tells where the host is. Without a response the host stays in transfer
        // until its target appears or the time limit for its arrival is over.
        mListedMillis = Long.MIN_VALUE / 2;
        if (failure == null && outcome != HostClient.HostOrderOutcome.UNKNOWN) {
            mTransfers.remove(move.hostId());
            setInUse(target, true);
        }
    }

    private void readHosts(QueueCatalog catalog, long nowMillis) {
        if (mListing || nowMillis - mListedMillis < LIST_INTERVAL_MILLIS) {
            return;
        }
        mListing = true;
        mListedMillis = nowMillis;
        mContext.hosts()
                .list()
                .whenComplete(
                        (hosts, failure) ->
                                mContext.control()
                                        .execute(
                                                () -> {
                                                    mListing = false;
                                                    if (failure == null) {
                                                        onHosts(hosts, catalog, nowMillis);
                                                    } else {
                                                        Logger.warn(
                                                                "loan: event=list-failed cause={}",
                                                                failure.getMessage());
                                                    }
                                                }));
    }

    private void onHosts(
            List<HostClient.HostStatus> hosts, QueueCatalog catalog, long requestedMillis) {
        mListRequestedMillis = requestedMillis;
        mListed.clear();
        boolean changed = false;
        for (HostClient.HostStatus host : hosts) {
            mListed.put(host.hostId(), host);
            if (catalog.standbyServices().contains(host.pool())) {
                changed |= mSpare.add(host.hostId());
            }
        }
        if (changed) {
            Logger.info("loan: event=spare-hosts count={}", mSpare.size());
            mCommits.put(
                    StoreLayout.SPARE_HOSTS, ByteString.copyFromUtf8(String.join("\n", mSpare)));
        }
    }

    private TargetState targetOn(String host) {
        return mScheduler.targetOn(host).orElse(null);
    }
}

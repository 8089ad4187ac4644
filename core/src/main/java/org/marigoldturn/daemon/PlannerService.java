package org.marigoldturn.daemon;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.marigoldturn.fleet.AvailabilityBudget;
import org.marigoldturn.fleet.DrainEvidence;
import org.marigoldturn.fleet.FleetObservation;
import org.marigoldturn.fleet.FleetPlanner;
import org.marigoldturn.fleet.HostObservation;
import org.marigoldturn.fleet.PoolDemand;
import org.marigoldturn.membership.RoleHolder;
import org.marigoldturn.peer.wire.Load;
import org.marigoldturn.peer.wire.StatusReply;
import org.marigoldturn.settings.ChangeResult;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.HostState;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.SettingsChange;
import org.marigoldturn.settings.SettingsRepository;
import org.marigoldturn.settings.VersionedState;
import org.marigoldturn.store.HostPresence;
import org.tinylog.Logger;

/**
 * Runs the fleet planner while this daemon holds the planner role. Each commit names the version
 * that its decision is based on, so that a holder that was paused commits nothing. Belongs to the
 * control thread.
 */
final class PlannerService {
    private static final long EXPECTED_DRAIN_MILLIS = 60_000;

    /** Interval at which old versions and contents are deleted from the store. */
    private static final long CLEAN_UP_INTERVAL_MILLIS = 3_600_000;

    private final FleetPlanner mPlanner = new FleetPlanner();
    private final RoleHolder mRole;
    private final FleetStatusService mStatus;
    private final HostListService mHosts;
    private final Supplier<Set<String>> mFailedHosts;
    private final StatePublisher mPublisher;
    private final SettingsRepository mRepository;
    private final ControlLoop mControl;
    private final LongSupplier mNowMillis;
    private final LongSupplier mNowNanos;

    /** Version in which each host entered its current state. */
    private final Map<String, Long> mHostStateVersions = new HashMap<>();

    private final Map<String, HostState> mHostStates = new HashMap<>();

    /**
     * Hosts that the host list has shown as leaving or ended while they were in maintenance. If
     * such a host is live again, its maintenance is done.
     */
    private final Set<String> mSeenAbsent = new HashSet<>();

    /**
     * By host, the earliest report of each daemon that it holds the version in which the host
     * drains, and runs nothing on the host. The daemon starts nothing there after this report, so a
     * later usage report can prove that the host is drained.
     */
    private final Map<String, Map<String, DrainEvidence.DaemonReport>> mIdleReports =
            new HashMap<>();

    private final Map<String, PoolDemand> mDemands = new HashMap<>();
    private boolean mStepInProgress;
    private long mCleanedUpAtMillis;

    PlannerService(
            RoleHolder role,
            FleetStatusService status,
            HostListService hosts,
            Supplier<Set<String>> failedHosts,
            StatePublisher publisher,
            SettingsRepository repository,
            ControlLoop control,
            LongSupplier nowMillis,
            LongSupplier nowNanos) {
        mRole = role;
        mStatus = status;
        mHosts = hosts;
        mFailedHosts = failedHosts;
        mPublisher = publisher;
        mRepository = repository;
        mControl = control;
        mNowMillis = nowMillis;
        mNowNanos = nowNanos;
        publisher.addListener((previous, state) -> onState(state));
        hosts.addListener(this::observeAbsence);
        hosts.requireUsageOf(this::drainingHosts);
    }

    /**
     * Collects the status of all daemons and commits the next step, if this daemon has the role.
     */
    void tick() {
        if (!mRole.holds(mNowNanos.getAsLong()) || mStepInProgress) {
            return;
        }
        mStepInProgress = true;
        VersionedState state = mPublisher.state();
        List<String> outOfService =
                state.settings().hosts().values().stream()
                        .filter(host -> !host.state().acceptsWork())
                        .map(HostSettings::name)
                        .toList();
        long requestedAtMillis = mNowMillis.getAsLong();
        var unused =
                mStatus.collect(outOfService)
                        .whenCompleteAsync(
                                (replies, failure) -> {
                                    mStepInProgress = false;
                                    if (failure == null) {
                                        plan(state, replies, requestedAtMillis);
                                    }
                                },
                                mControl);
        cleanUp(requestedAtMillis);
    }

    private void onState(VersionedState state) {
        Map<String, HostSettings> hosts = state.settings().hosts();
        mHostStates.keySet().retainAll(hosts.keySet());
        mHostStateVersions.keySet().retainAll(hosts.keySet());
        for (HostSettings host : hosts.values()) {
            if (mHostStates.put(host.name(), host.state()) != host.state()) {
                mHostStateVersions.put(host.name(), state.version());
                mSeenAbsent.remove(host.name());
                mIdleReports.remove(host.name());
            }
        }
    }

    private void observeAbsence() {
        mHosts.hosts()
                .forEach(
                        (host, presence) -> {
                            boolean maintained = mHostStates.get(host) == HostState.MAINTENANCE;
                            if (maintained && presence != HostPresence.LIVE) {
                                mSeenAbsent.add(host);
                            }
                        });
    }

    /**
     * Returns the draining hosts, whose usage reports are needed; empty without the planner role.
     */
    private Set<String> drainingHosts() {
        if (!mRole.holds(mNowNanos.getAsLong())) {
            return Set.of();
        }
        Set<String> draining = new HashSet<>();
        mHostStates.forEach(
                (host, state) -> {
                    if (state == HostState.DRAINING) {
                        draining.add(host);
                    }
                });
        return draining;
    }

    private void plan(
            VersionedState state, Map<String, StatusReply> replies, long requestedAtMillis) {
        if (!mRole.holds(mNowNanos.getAsLong())) {
            return;
        }
        FleetObservation observation = observation(state, replies, requestedAtMillis);
        mPlanner.step(state, observation, UUID.randomUUID().toString(), mNowMillis.getAsLong())
                .ifPresent(this::commit);
    }

    private void commit(SettingsChange change) {
        mStepInProgress = true;
        var unused =
                mRepository
                        .commit(change, mNowMillis.getAsLong())
                        .whenCompleteAsync(
                                (result, failure) -> {
                                    mStepInProgress = false;
                                    if (result instanceof ChangeResult.Committed committed) {
                                        change.edits()
                                                .forEach(
                                                        e ->
                                                                Logger.info(
                                                                        "fleet: committed change of"
                                                                                + " setting {}.",
                                                                        e.path()));
                                        mPublisher.adopt(committed.state());
                                    } else {
                                        Logger.info(
                                                "fleet: change on version {} not committed: {}.",
                                                change.baseVersion(),
                                                failure == null ? result : failure.getMessage());
                                    }
                                },
                                mControl);
    }

    private FleetObservation observation(
            VersionedState state, Map<String, StatusReply> replies, long requestedAtMillis) {
        Map<String, HostObservation> hosts = new TreeMap<>();
        for (HostSettings host : state.settings().hosts().values()) {
            if (!host.state().acceptsWork()) {
                hosts.put(host.name(), observe(state, host, replies, requestedAtMillis));
            }
        }
        return new FleetObservation(
                mFailedHosts.get(), hosts, demands(state, replies), EXPECTED_DRAIN_MILLIS);
    }

    private HostObservation observe(
            VersionedState state,
            HostSettings host,
            Map<String, StatusReply> replies,
            long requestedAtMillis) {
        HostPresence presence = mHosts.hosts().get(host.name());
        boolean live = presence == HostPresence.LIVE;
        boolean ended = presence == HostPresence.ENDED;
        Set<String> members = new HashSet<>();
        state.members().members().stream().map(Member::id).forEach(members::add);
        long drainVersion = mHostStateVersions.getOrDefault(host.name(), Long.MAX_VALUE);
        Map<String, DrainEvidence.DaemonReport> idle =
                mIdleReports.computeIfAbsent(host.name(), name -> new HashMap<>());
        replies.forEach(
                (id, reply) -> {
                    int running = reply.getHostsOrDefault(host.name(), 0);
                    if (running == 0 && reply.getVersion() >= drainVersion) {
                        idle.putIfAbsent(
                                id,
                                new DrainEvidence.DaemonReport(
                                        reply.getVersion(), running, requestedAtMillis));
                    }
                });
        DrainEvidence drain =
                new DrainEvidence(drainVersion, members, idle, usage(host.name()), ended);
        return new HostObservation(drain, live && mSeenAbsent.contains(host.name()), live);
    }

    private DrainEvidence.UsageReport usage(String host) {
        return mHosts.usage(host)
                .map(usage -> new DrainEvidence.UsageReport(usage.running(), usage.madeAtMillis()))
                .orElse(null);
    }

    private Map<String, PoolDemand> demands(
            VersionedState state, Map<String, StatusReply> replies) {
        long nowMillis = mNowMillis.getAsLong();
        AvailabilityBudget budget = AvailabilityBudget.of(state.settings(), mFailedHosts.get());
        for (String pool : state.settings().pools().keySet()) {
            int running = 0;
            int queued = 0;
            for (StatusReply reply : replies.values()) {
                Load load = reply.getPoolsOrDefault(pool, Load.getDefaultInstance());
                running += load.getRunning();
                queued += load.getQueued();
            }
            int capacity = budget.presentSlots(pool);
            boolean exceedsCapacity = running + queued > capacity;
            PoolDemand previous = mDemands.get(pool);
            boolean exceededCapacity = previous != null && previous.demandSlots() > capacity;
            long sinceMillis =
                    previous != null && exceededCapacity == exceedsCapacity
                            ? previous.sinceMillis()
                            : nowMillis;
            mDemands.put(pool, new PoolDemand(pool, running, queued, sinceMillis));
        }
        mDemands.keySet().retainAll(state.settings().pools().keySet());
        return Map.copyOf(mDemands);
    }

    private void cleanUp(long nowMillis) {
        if (nowMillis - mCleanedUpAtMillis < CLEAN_UP_INTERVAL_MILLIS) {
            return;
        }
        mCleanedUpAtMillis = nowMillis;
        var unused =
                mRepository
                        .cleanUp()
                        .whenComplete(
                                (deleted, failure) -> {
                                    if (failure != null) {
                                        Logger.warn(
                                                "settings: deletion of old versions failed: {}.",
                                                failure);
                                    }
                                });
    }
}

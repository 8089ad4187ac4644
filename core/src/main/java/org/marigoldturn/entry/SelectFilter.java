package org.marigoldturn.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.marigoldturn.rights.ResourceNames;
import org.marigoldturn.rights.RightsHolder;
import org.marigoldturn.routing.HostHealth;
import org.marigoldturn.routing.HostHealthReport;
import org.marigoldturn.routing.HostLoads;
import org.marigoldturn.routing.PoolHosts;
import org.marigoldturn.routing.TargetSelector;
import org.marigoldturn.routing.TargetSelector.Query;
import org.marigoldturn.routing.TargetSelector.Selection;
import org.marigoldturn.routing.TwoChoicesTargetSelector;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.TargetProtocol;
import org.tinylog.Logger;

/** Selects the host of each attempt and tracks the load and health of hosts. Thread safe. */
final class SelectFilter {
    private final TargetSelector mSelector;
    private final RightsHolder mRights;
    private final RandomGenerator mRandom;
    private final HostLoads mLoads;
    private final Map<String, HostHealth> mHealthByPool = new ConcurrentHashMap<>();
    private final LongSupplier mNowMillis;
    private final LongSupplier mNowNanos;
    private final FilterMetrics mMetrics;

    SelectFilter(EntryDependencies dependencies) {
        mRights = dependencies.rights();
        mRandom = dependencies.random();
        mLoads = new HostLoads();
        mNowMillis = dependencies.nowMillis();
        mNowNanos = dependencies.nowNanos();
        mMetrics = new FilterMetrics(dependencies.metrics(), "select");
        mSelector =
                new TwoChoicesTargetSelector(
                        mRights,
                        mLoads,
                        this::health,
                        dependencies.leavingHosts(),
                        dependencies.random());
    }

    /** Selects a host and takes a right to one of its slots; empty if no suitable host is free. */
    Optional<Selection> select(FleetView view, CallerRequest request, Set<String> triedHosts) {
        long startNanos = mNowNanos.getAsLong();
        Optional<Selection> selection =
                mSelector.select(
                        pool(view, request),
                        query(view, request, triedHosts),
                        mNowMillis.getAsLong(),
                        startNanos);
        if (selection.isPresent()) {
            mMetrics.passed();
        } else {
            mMetrics.rejected();
        }
        mMetrics.took(mNowNanos.getAsLong() - startNanos);
        return selection;
    }

    /** Returns whether the pool has another host to which the request can be sent. */
    boolean hasOtherHost(FleetView view, CallerRequest request, Set<String> triedHosts) {
        return mSelector.hasEligible(
                pool(view, request), query(view, request, triedHosts), mNowNanos.getAsLong());
    }

    /** Returns the number of attempts of this daemon that occupy a slot of the host. */
    int running(String host) {
        return mLoads.running(host);
    }

    /** Releases the slot of a selected host to which nothing was sent. */
    void releaseUnused(String pool, Selection selection) {
        if (selection.trial()) {
            abandonTrial(pool, selection.host().name());
        }
        releaseSlot(selection.host().name());
    }

    /** Releases the slot of an attempt that has ended. */
    void releaseSlot(String host) {
        mLoads.ended(host);
        mRights.release(ResourceNames.host(host));
    }

    /** Ends a trial request to an ejected host without counting it as success or failure. */
    void abandonTrial(String pool, String host) {
        health(pool).abandonTrial(host);
    }

    /** Adds the outcome of an attempt to the health of its host. */
    void report(FleetView view, String pool, String host, boolean success) {
        long nowNanos = mNowNanos.getAsLong();
        if (success) {
            health(pool).onSuccess(host, nowNanos);
        } else if (health(pool).onFailure(host, view.pool(pool).hosts().size(), nowNanos)) {
            Logger.warn(
                    "routing: host ejected after failed requests; it gets only trial requests."
                            + " pool={} host={}",
                    pool,
                    host);
        }
    }

    /** Discards the health of hosts that have left their pools. */
    void retain(FleetView view) {
        mHealthByPool.forEach(
                (pool, health) ->
                        health.retain(
                                view.pool(pool).hosts().stream().map(HostSettings::name).toList()));
    }

    /** Returns the hosts that are ejected because of the outcomes of this daemon's attempts. */
    Set<String> ejectedHosts() {
        Set<String> hosts = new TreeSet<>();
        mHealthByPool.values().forEach(health -> hosts.addAll(health.ejectedHosts()));
        return hosts;
    }

    /** Returns this daemon's own observations of a host. */
    HostHealthReport healthReport(String pool, String host) {
        return health(pool).report(host, mNowNanos.getAsLong());
    }

    /**
     * Marks as suspects the hosts that other daemons have ejected.
     *
     * @param suspects hosts of all pools, those with the most evidence first
     */
    void setSuspects(FleetView view, List<String> suspects) {
        Map<String, List<String>> byPool = new HashMap<>();
        mHealthByPool.keySet().forEach(pool -> byPool.put(pool, new ArrayList<>()));
        for (String host : suspects) {
            HostSettings settings = view.state().settings().hosts().get(host);
            if (settings != null) {
                byPool.computeIfAbsent(settings.pool(), pool -> new ArrayList<>()).add(host);
            }
        }
        byPool.forEach(
                (pool, hosts) ->
                        health(pool)
                                .setSuspects(
                                        hosts,
                                        view.pool(pool).hosts().size(),
                                        mNowNanos.getAsLong()));
    }

    private HostHealth health(String pool) {
        return mHealthByPool.computeIfAbsent(pool, p -> new HostHealth(mRandom));
    }

    private static PoolHosts pool(FleetView view, CallerRequest request) {
        return view.pool(request.service().pool());
    }

    /** Returns whether concurrent requests share one connection to the target. */
    static boolean isMultiplexed(CallerRequest request) {
        TargetProtocol protocol = request.service().protocol();
        return protocol == TargetProtocol.H2 || protocol == TargetProtocol.H2C;
    }

    static Query query(FleetView view, CallerRequest request, Set<String> triedHosts) {
        return new Query(
                request.needs(),
                triedHosts,
                request.idempotent(),
                isMultiplexed(request) ? 0 : view.memberCount());
    }
}

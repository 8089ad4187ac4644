package org.marigoldturn.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.marigoldturn.rights.ResourceNames;
import org.marigoldturn.rights.RightsHolder;
import org.marigoldturn.routing.PoolHosts.ZonedHost;
import org.marigoldturn.settings.HostSettings;

/**
 * Selects the less loaded of two random hosts among the eligible ones with a free slot right. A
 * host whose trial is due is selected first if the request may be its trial. Thread safe.
 */
public final class TwoChoicesTargetSelector implements TargetSelector {
    private final RightsHolder mRights;
    private final HostLoads mLoads;
    private final Function<String, HostHealth> mHealthByPool;
    private final Predicate<String> mLeaving;
    private final RandomGenerator mRandom;

    /**
     * Creates a selector.
     *
     * @param leaving whether the host list reports a host as leaving or ended
     * @param random source of the choices; must be thread safe
     */
    public TwoChoicesTargetSelector(
            RightsHolder rights,
            HostLoads loads,
            Function<String, HostHealth> healthByPool,
            Predicate<String> leaving,
            RandomGenerator random) {
        mRights = rights;
        mLoads = loads;
        mHealthByPool = healthByPool;
        mLeaving = leaving;
        mRandom = random;
    }

    @Override
    public Optional<Selection> select(PoolHosts pool, Query query, long nowMillis, long nowNanos) {
        HostHealth health = mHealthByPool.apply(pool.pool());
        List<ZonedHost> usable = new ArrayList<>(pool.inService().size());
        for (ZonedHost candidate : pool.inService()) {
            HostSettings host = candidate.host();
            if (!matches(host, query) || !hasFreeCapacity(host, query)) {
                continue;
            }
            HostVerdict verdict = health.verdict(host.name(), nowNanos);
            if (verdict == HostVerdict.USABLE) {
                usable.add(candidate);
            } else if (verdict == HostVerdict.TRIAL_DUE
                    && (query.idempotent() || health.isTrialOverdue(host.name(), nowNanos))) {
                Optional<Selection> trial = beginTrial(health, host, nowNanos);
                if (trial.isPresent()) {
                    return trial;
                }
            }
        }
        return selectUsable(usable, health, nowMillis, nowNanos);
    }

    @Override
    public boolean hasEligible(PoolHosts pool, Query query, long nowNanos) {
        HostHealth health = mHealthByPool.apply(pool.pool());
        return pool.inService().stream()
                .map(ZonedHost::host)
                .filter(host -> matches(host, query))
                .anyMatch(host -> health.verdict(host.name(), nowNanos) == HostVerdict.USABLE);
    }

    private boolean matches(HostSettings host, Query query) {
        return !query.excludedHosts().contains(host.name())
                && query.needs().fits(host)
                && !mLeaving.test(host.name());
    }

    private boolean hasFreeCapacity(HostSettings host, Query query) {
        int share = query.connectionShare();
        boolean belowCap =
                share == 0 || mLoads.running(host.name()) < Math.max(1, host.connections() / share);
        return belowCap && mRights.free(ResourceNames.host(host.name())) > 0;
    }

    private Optional<Selection> beginTrial(HostHealth health, HostSettings host, long nowNanos) {
        if (!mRights.tryAcquire(ResourceNames.host(host.name()))) {
            return Optional.empty();
        }
        if (!health.tryBeginTrial(host.name(), nowNanos)) {
            mRights.release(ResourceNames.host(host.name()));
            return Optional.empty();
        }
        mLoads.started(host.name());
        return Optional.of(new Selection(host, true, "trial"));
    }

    private Optional<Selection> selectUsable(
            List<ZonedHost> usable, HostHealth health, long nowMillis, long nowNanos) {
        while (!usable.isEmpty()) {
            int first = weightedIndex(usable, -1, nowMillis);
            int second = weightedIndex(usable, first, nowMillis);
            int best = first;
            if (second >= 0
                    && load(usable.get(second).host(), health, nowNanos)
                            < load(usable.get(first).host(), health, nowNanos)) {
                best = second;
            }
            HostSettings host = usable.get(best).host();
            if (mRights.tryAcquire(ResourceNames.host(host.name()))) {
                mLoads.started(host.name());
                String reason = second < 0 ? "only-free-host" : "less-loaded-of-two";
                return Optional.of(new Selection(host, false, reason));
            }
            usable.remove(best);
        }
        return Optional.empty();
    }

    /**
     * Returns a random index, weighted by zone, other than the excluded one, or -1 if none is left.
     */
    private int weightedIndex(List<ZonedHost> hosts, int excluded, long nowMillis) {
        double total = 0;
        for (int i = 0; i < hosts.size(); i++) {
            total += i == excluded ? 0 : hosts.get(i).weight(nowMillis);
        }
        double point = mRandom.nextDouble() * total;
        int last = -1;
        for (int i = 0; i < hosts.size(); i++) {
            if (i == excluded) {
                continue;
            }
            last = i;
            point -= hosts.get(i).weight(nowMillis);
            if (point < 0) {
                return i;
            }
        }
        return last;
    }

    /**
     * Returns the running requests per slot. Recent failures count as running, so that a host that
     * fails fast does not look idle and attract requests.
     */
    private double load(HostSettings host, HostHealth health, long nowNanos) {
        int failures = health.recentFailures(host.name(), nowNanos);
        return (double) (mLoads.running(host.name()) + failures) / host.slots();
    }
}

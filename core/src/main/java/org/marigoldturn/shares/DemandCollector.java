package org.marigoldturn.shares;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.marigoldturn.rights.PoolSlots;
import org.marigoldturn.rights.ResourceNames;
import org.marigoldturn.rights.RightsLedger;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.VersionedState;
import org.marigoldturn.shares.ResourceDemand.TeamLoad;

/**
 * Computes the demand of this daemon for slots and for team rights from its queues and holdings.
 *
 * <p>A request needs both a slot and a right of its team. A request that waits for one of them does
 * not count as demand for the other one: rights or slots moved here for it would stay unused. Not
 * thread safe; used by the control thread only.
 */
public final class DemandCollector {
    /** Time for which rights must be ample before the demand for them is reduced. */
    private static final long AMPLE_MILLIS = 3000;

    /**
     * Rights are ample while more than a quarter of them is free although requests are queued,
     * which shows that slots are short.
     */
    private static final int AMPLE_DIVISOR = 4;

    /** A reduced demand grows while at most an eighth of the rights is free. */
    private static final int SCARCE_DIVISOR = 8;

    /**
     * Factor by which a reduced demand grows each second. An immediate return to the full demand
     * would oscillate.
     */
    private static final int GROWTH_FACTOR = 2;

    /** Cap on the demand of one team for its rights. */
    private static final class DemandCap {
        private int mMaxDemand = Integer.MAX_VALUE;

        /** Last time at which the rights were not ample. */
        private long mLastNotAmpleMillis;
    }

    private final Map<String, DemandCap> mDemandCaps = new HashMap<>();
    private final PoolSlots mPoolSlots = new PoolSlots();

    /**
     * Returns the demand by resource; to be called once a second.
     *
     * @param loads running and queued requests of this daemon by pool and team; teams without
     *     requests in a pool are absent
     */
    public Map<String, ResourceDemand> collect(
            VersionedState state,
            RightsLedger ledger,
            Map<String, Map<String, TeamLoad>> loads,
            long nowMillis) {
        Map<String, TeamLoad> teams = new TreeMap<>();
        loads.values()
                .forEach(pool -> pool.forEach((t, l) -> teams.merge(t, l, DemandCollector::sum)));
        Map<String, ResourceDemand> demands = new TreeMap<>();
        for (String pool : state.settings().pools().keySet()) {
            Map<String, TeamLoad> forSlots = new TreeMap<>();
            loads.getOrDefault(pool, Map.of())
                    .forEach(
                            (t, l) -> forSlots.put(t, limitedByRights(ledger, t, l, teams.get(t))));
            int slots = mPoolSlots.slots(state, pool);
            add(demands, ledger, ResourceNames.pool(pool), slots, forSlots);
        }
        for (TeamSettings team : state.settings().teams().values()) {
            TeamLoad load = teams.getOrDefault(team.name(), new TeamLoad(0, 0));
            TeamLoad forRights = limitedBySlots(ledger, team.name(), load, nowMillis);
            Map<String, TeamLoad> active =
                    load.demand() == 0 ? Map.of() : Map.of(team.name(), forRights);
            add(demands, ledger, ResourceNames.team(team.name()), team.runningLimit(), active);
        }
        return demands;
    }

    private static void add(
            Map<String, ResourceDemand> demands,
            RightsLedger ledger,
            String resource,
            int slots,
            Map<String, TeamLoad> loads) {
        int held = ledger.held(resource);
        if (held > 0 || !loads.isEmpty()) {
            int transferable = ledger.transferable(resource);
            demands.put(resource, new ResourceDemand(held, transferable, slots, loads));
        }
    }

    private static TeamLoad limitedByRights(
            RightsLedger ledger, String team, TeamLoad load, TeamLoad inAllPools) {
        int free = Math.max(0, ledger.allowance(ResourceNames.team(team)) - inAllPools.running());
        return new TeamLoad(load.running(), Math.min(load.queued(), free));
    }

    private TeamLoad limitedBySlots(
            RightsLedger ledger, String team, TeamLoad load, long nowMillis) {
        DemandCap cap = mDemandCaps.computeIfAbsent(team, name -> new DemandCap());
        int allowance = ledger.allowance(ResourceNames.team(team));
        int free = allowance - load.running();
        if (free <= allowance / AMPLE_DIVISOR || load.queued() == 0) {
            cap.mLastNotAmpleMillis = nowMillis;
        }
        if (nowMillis - cap.mLastNotAmpleMillis >= AMPLE_MILLIS) {
            cap.mMaxDemand = load.running() + load.running() / AMPLE_DIVISOR + 1;
        } else if (free <= allowance / SCARCE_DIVISOR && cap.mMaxDemand < Integer.MAX_VALUE) {
            boolean grown = cap.mMaxDemand > load.demand();
            cap.mMaxDemand = grown ? Integer.MAX_VALUE : cap.mMaxDemand * GROWTH_FACTOR;
        }
        int queued = Math.min(load.queued(), Math.max(0, cap.mMaxDemand - load.running()));
        return new TeamLoad(load.running(), queued);
    }

    private static TeamLoad sum(TeamLoad a, TeamLoad b) {
        return new TeamLoad(a.running() + b.running(), a.queued() + b.queued());
    }
}

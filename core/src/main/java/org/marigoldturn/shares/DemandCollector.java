package org.marigoldturn.shares;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.marigoldturn.rights.PoolSlots;
import org.marigoldturn.rights.Resources;
import org.marigoldturn.rights.RightsLedger;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.VersionedState;
import org.marigoldturn.shares.ResourceDemand.TeamLoad;

/**
 * Demand of this daemon for slots and for rights of teams, from its queues and holdings.
 *
 * <p>A request needs both a slot and a right of its team. Work that waits for one of them is no
 * demand for the other one, which would stay idle at this daemon. Not thread safe; belongs to the
 * control thread.
 */
public final class DemandCollector {
    /** Time for which rights must be left over before the demand for them is reduced. */
    private static final long AMPLE_MILLIS = 3000;

    private static final int AMPLE_DIVISOR = 4;
    private static final int SCARCE_DIVISOR = 8;

    /** Growth of a reduced demand each second; an immediate return to the full one oscillates. */
    private static final int GROWTH = 2;

    /** Reduction of the demand of one team for its rights. */
    private static final class Reduction {
        private int mCap = Integer.MAX_VALUE;
        private long mScarceAtMillis;
    }

    private final Map<String, Reduction> mReductions = new HashMap<>();
    private final PoolSlots mPoolSlots = new PoolSlots();

    /**
     * Returns the demand by resource; to be called once a second.
     *
     * @param loads running and queued work of this daemon by pool and team, active pairs only
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
                    .forEach((t, l) -> forSlots.put(t, withinRights(ledger, t, l, teams.get(t))));
            int slots = mPoolSlots.of(state, pool);
            add(demands, ledger, Resources.pool(pool), slots, forSlots);
        }
        for (TeamSettings team : state.settings().teams().values()) {
            TeamLoad load = teams.getOrDefault(team.name(), new TeamLoad(0, 0));
            TeamLoad forRights = withinSlots(ledger, team.name(), load, nowMillis);
            Map<String, TeamLoad> active =
                    load.demand() == 0 ? Map.of() : Map.of(team.name(), forRights);
            add(demands, ledger, Resources.team(team.name()), team.runningLimit(), active);
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
            int givable = ledger.givable(resource);
            demands.put(resource, new ResourceDemand(held, givable, slots, loads));
        }
    }

    private static TeamLoad withinRights(
            RightsLedger ledger, String team, TeamLoad load, TeamLoad inAllPools) {
        int free = Math.max(0, ledger.allowance(Resources.team(team)) - inAllPools.running());
        return new TeamLoad(load.running(), Math.min(load.queued(), free));
    }

    private TeamLoad withinSlots(RightsLedger ledger, String team, TeamLoad load, long nowMillis) {
        Reduction reduction = mReductions.computeIfAbsent(team, name -> new Reduction());
        int allowance = ledger.allowance(Resources.team(team));
        int free = allowance - load.running();
        if (free <= allowance / AMPLE_DIVISOR || load.queued() == 0) {
            reduction.mScarceAtMillis = nowMillis;
        }
        if (nowMillis - reduction.mScarceAtMillis >= AMPLE_MILLIS) {
            reduction.mCap = load.running() + load.running() / AMPLE_DIVISOR + 1;
        } else if (free <= allowance / SCARCE_DIVISOR && reduction.mCap < Integer.MAX_VALUE) {
            boolean grown = reduction.mCap > load.demand();
            reduction.mCap = grown ? Integer.MAX_VALUE : reduction.mCap * GROWTH;
        }
        int queued = Math.min(load.queued(), Math.max(0, reduction.mCap - load.running()));
        return new TeamLoad(load.running(), queued);
    }

    private static TeamLoad sum(TeamLoad a, TeamLoad b) {
        return new TeamLoad(a.running() + b.running(), a.queued() + b.queued());
    }
}

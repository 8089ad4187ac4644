package org.marigoldturn.shares;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.marigoldturn.peer.wire.DemandReport;
import org.marigoldturn.peer.wire.TeamDemand;
import org.marigoldturn.shares.MaxMinAllocator.TeamClaim;
import org.marigoldturn.shares.TransferPlanner.Move;
import org.marigoldturn.shares.TransferPlanner.Position;

/**
 * Divides the rights of one pool or team limit by the reports of the daemons, as its coordinator.
 * All state is soft: it is built from reports. Not thread safe.
 */
final class ResourceCoordinator {
    /** Time without a report after which a daemon is forgotten: two complete ones are missing. */
    private static final long REPORT_TIMEOUT_MILLIS =
            2 * DemandReporter.COMPLETE_INTERVAL_MILLIS + 1000;

    /** Time without need after which rights may move to daemons that do not need them either. */
    private static final long SURPLUS_MILLIS = 5000;

    /** A daemon that needs three quarters of its rights transfers none to daemons without need. */
    private static final int SURPLUS_DIVISOR = 4;

    /** Up to 1% of the rights is divided equally, so that daemons with little traffic have some. */
    private static final int RESERVE_DIVISOR = 100;

    /** Demand and holding of one daemon, as reported. */
    private static final class DaemonState {
        private final Map<String, Integer> mDemands = new TreeMap<>();
        private int mHeld;
        private long mReportedAtMillis;

        /** Time of the last division in which the daemon needed most of its rights. */
        private long mNeededAtMillis;
    }

    private final Map<String, DaemonState> mDaemons = new TreeMap<>();
    private final Map<String, RotatingSplit> mSplits = new HashMap<>();
    private final PendingTransfers mPending = new PendingTransfers();

    void onReport(String sender, DemandReport report, long nowMillis) {
        DaemonState daemon = mDaemons.computeIfAbsent(sender, id -> new DaemonState());
        if (report.getComplete()) {
            daemon.mDemands.clear();
        }
        mPending.onReport(sender, report.getHeld() - daemon.mHeld, nowMillis);
        daemon.mHeld = report.getHeld();
        daemon.mReportedAtMillis = nowMillis;
        for (TeamDemand team : report.getTeamsList()) {
            int demand = team.getRunning() + team.getQueued();
            if (demand == 0) {
                daemon.mDemands.remove(team.getTeam());
            } else {
                daemon.mDemands.put(team.getTeam(), demand);
            }
        }
    }

    void forgetNotReporting(Collection<String> responding, long nowMillis) {
        mDaemons.keySet().retainAll(responding);
        mDaemons.values().removeIf(d -> nowMillis - d.mReportedAtMillis > REPORT_TIMEOUT_MILLIS);
        mPending.expire(nowMillis);
    }

    Set<String> daemons() {
        return mDaemons.keySet();
    }

    /** Returns the number of rights that the daemons hold, including those in transfer. */
    int held() {
        return effectiveHoldings().values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the number of running and queued requests of each team at all daemons. */
    Map<String, Integer> demands() {
        Map<String, Integer> demands = new TreeMap<>();
        for (DaemonState daemon : mDaemons.values()) {
            daemon.mDemands.forEach((team, demand) -> demands.merge(team, demand, Integer::sum));
        }
        return demands;
    }

    /**
     * Returns how many requests of each team each daemon may run, by daemon and then team.
     *
     * @param claims demand of the teams of this resource
     */
    Map<String, Map<String, Integer>> divide(
            int capacitySlots, List<TeamClaim> claims, long nowMillis) {
        Map<String, Map<String, Integer>> parts = new TreeMap<>();
        mDaemons.keySet().forEach(daemon -> parts.put(daemon, new TreeMap<>()));
        mSplits.keySet().retainAll(demands().keySet());
        MaxMinAllocator.allocate(capacitySlots, claims)
                .forEach(
                        (team, running) ->
                                split(team, running, nowMillis)
                                        .forEach((d, part) -> parts.get(d).put(team, part)));
        return parts;
    }

    /** Returns the transfers that bring the holdings closer to the needs of the daemons. */
    List<Move> planMoves(int rights, Map<String, Integer> needs, long nowMillis) {
        if (mDaemons.isEmpty()) {
            return List.of();
        }
        Map<String, Integer> held = effectiveHoldings();
        // Rights of daemons that do not report cannot be transferred.
        int movable = Math.min(rights, held.values().stream().mapToInt(h -> Math.max(0, h)).sum());
        Map<String, Integer> fitted = withReserve(needs, movable);
        int spare = movable - fitted.values().stream().mapToInt(Integer::intValue).sum();
        Map<String, Integer> equal = new TreeMap<>();
        mDaemons.keySet().forEach(daemon -> equal.put(daemon, 1));
        Map<String, Integer> spareParts = LargestRemainder.split(spare, equal);
        Map<String, Position> positions = new TreeMap<>();
        fitted.forEach(
                (daemon, need) ->
                        positions.put(
                                daemon,
                                new Position(
                                        held.get(daemon),
                                        need,
                                        need + spareParts.get(daemon),
                                        updateSurplusLasts(
                                                daemon, held.get(daemon), need, nowMillis))));
        List<Move> moves = new ArrayList<>(TransferPlanner.plan(positions));
        // A second hint would replace what the source has reserved for the first one.
        moves.removeIf(mPending::isOpen);
        moves.forEach(move -> mPending.add(move, nowMillis));
        return moves;
    }

    private Map<String, Integer> split(String team, int running, long nowMillis) {
        Map<String, Integer> demands = new TreeMap<>();
        mDaemons.forEach(
                (id, daemon) -> {
                    int demand = daemon.mDemands.getOrDefault(team, 0);
                    if (demand > 0) {
                        demands.put(id, demand);
                    }
                });
        return mSplits.computeIfAbsent(team, name -> new RotatingSplit())
                .split(running, demands, nowMillis);
    }

    /** Updates the time of the last need; returns whether the surplus has lasted long enough. */
    private boolean updateSurplusLasts(String id, int held, int need, long nowMillis) {
        DaemonState daemon = mDaemons.get(id);
        if (held - need <= held / SURPLUS_DIVISOR) {
            daemon.mNeededAtMillis = nowMillis;
        }
        return nowMillis - daemon.mNeededAtMillis >= SURPLUS_MILLIS;
    }

    private Map<String, Integer> effectiveHoldings() {
        Map<String, Integer> held = new TreeMap<>();
        mDaemons.forEach((id, daemon) -> held.put(id, daemon.mHeld));
        mPending.applyTo(held);
        return held;
    }

    private Map<String, Integer> withReserve(Map<String, Integer> needs, int rights) {
        int reserve = rights / RESERVE_DIVISOR / mDaemons.size();
        Map<String, Integer> fitted = new TreeMap<>();
        mDaemons.keySet().forEach(d -> fitted.put(d, Math.max(reserve, needs.getOrDefault(d, 0))));
        int excess = fitted.values().stream().mapToInt(Integer::intValue).sum() - rights;
        List<String> order = new ArrayList<>(new TreeSet<>(fitted.keySet()));
        order.sort((a, b) -> Integer.compare(fitted.get(b), fitted.get(a)));
        for (String daemon : order) {
            int reduction = Math.max(0, Math.min(excess, fitted.get(daemon) - reserve));
            fitted.merge(daemon, -reduction, Integer::sum);
            excess -= reduction;
        }
        return fitted;
    }
}

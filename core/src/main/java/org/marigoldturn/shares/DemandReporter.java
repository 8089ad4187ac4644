package org.marigoldturn.shares;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.marigoldturn.peer.wire.DemandReport;
import org.marigoldturn.peer.wire.TeamDemand;
import org.marigoldturn.shares.ResourceDemand.TeamLoad;

/**
 * Creates the demand reports of this daemon to the coordinators: changes as they occur, and
 * complete reports periodically and when the coordinator of a resource changes. Not thread safe;
 * used by the control thread only.
 */
public final class DemandReporter {
    /** Interval of complete reports, which make up for lost ones; 30 s cost about 0.2 KB/s. */
    public static final long COMPLETE_INTERVAL_MILLIS = 30_000;

    /**
     * Time that a change must last before it causes a report if it is large but the rights held
     * cover the demand, or noticeable but not large and the rights do not cover the demand.
     * Otherwise each short request in an idle pool would cause two reports. Large changes of demand
     * that is not covered are reported at once, negligible ones only with the next report.
     */
    static final long SMALL_CHANGE_MILLIS = 2000;

    /** Changes of up to an eighth of the demand have little effect on the allocation. */
    private static final int RELATIVE_THRESHOLD = 8;

    /**
     * For a backlogged team, changes of up to a quarter have little effect: its demand exceeds its
     * part of the allocation in any case.
     */
    private static final int BACKLOGGED_RELATIVE_THRESHOLD = 4;

    /** A change of an active team is large only if it exceeds max(1, slots / 100) requests. */
    private static final int SLOTS_PER_THRESHOLD = 100;

    private static final TeamLoad NONE = new TeamLoad(0, 0);
    private static final ResourceDemand NOTHING = new ResourceDemand(0, 0, 0, Map.of());

    /** The last reported demand for one resource. */
    private static final class Reported {
        private final Map<String, TeamLoad> mLoads = new TreeMap<>();
        private final Map<String, Long> mChangedSinceMillis = new HashMap<>();
        private String mCoordinator = "";
        private int mHeld;
        private long mCompleteAtMillis;
    }

    private final Map<String, Reported> mReported = new HashMap<>();

    /**
     * Returns the reports that are due; to be called once a second.
     *
     * @param demands demand of this daemon by resource; teams and pools without rights and demand
     *     may be absent
     * @param responding ids of the members that respond, including this daemon
     */
    public List<AddressedReport> tick(
            Map<String, ResourceDemand> demands, Collection<String> responding, long nowMillis) {
        List<AddressedReport> reports = new ArrayList<>();
        Map<String, ResourceDemand> reportable = new TreeMap<>(demands);
        // Includes resources of which this daemon has transferred its last right. Otherwise their
        // coordinators would continue to treat it as a source of rights.
        mReported.keySet().forEach(resource -> reportable.putIfAbsent(resource, NOTHING));
        reportable.forEach(
                (resource, demand) ->
                        Coordinators.of(resource, responding)
                                .flatMap(c -> report(resource, c, demand, nowMillis))
                                .ifPresent(reports::add));
        mReported.keySet().retainAll(demands.keySet());
        return reports;
    }

    private Optional<AddressedReport> report(
            String resource, String coordinator, ResourceDemand demand, long nowMillis) {
        Reported reported = mReported.computeIfAbsent(resource, name -> new Reported());
        boolean complete =
                !reported.mCoordinator.equals(coordinator)
                        || nowMillis - reported.mCompleteAtMillis >= COMPLETE_INTERVAL_MILLIS;
        Set<String> teams = new TreeSet<>(demand.loads().keySet());
        if (complete) {
            reported.mCompleteAtMillis = nowMillis;
            reported.mCoordinator = coordinator;
            reported.mLoads.clear();
        } else {
            teams.addAll(reported.mLoads.keySet());
            if (!isDue(reported, demand, teams, nowMillis)) {
                return Optional.empty();
            }
            teams.removeIf(team -> load(demand, team).equals(reported.mLoads.get(team)));
        }
        DemandReport report = build(resource, demand, teams, complete);
        remember(reported, demand, teams);
        return Optional.of(new AddressedReport(coordinator, report));
    }

    private static DemandReport build(
            String resource, ResourceDemand demand, Set<String> teams, boolean complete) {
        DemandReport.Builder report =
                DemandReport.newBuilder()
                        .setResource(resource)
                        .setHeld(demand.held())
                        .setFree(demand.free())
                        .setComplete(complete);
        for (String team : teams) {
            TeamLoad load = load(demand, team);
            report.addTeams(
                    TeamDemand.newBuilder()
                            .setTeam(team)
                            .setRunning(load.running())
                            .setQueued(load.queued()));
        }
        return report.build();
    }

    private static void remember(Reported reported, ResourceDemand demand, Set<String> teams) {
        reported.mHeld = demand.held();
        reported.mChangedSinceMillis.clear();
        for (String team : teams) {
            if (load(demand, team).equals(NONE)) {
                reported.mLoads.remove(team);
            } else {
                reported.mLoads.put(team, load(demand, team));
            }
        }
    }

    private static boolean isDue(
            Reported reported, ResourceDemand demand, Set<String> teams, long nowMillis) {
        reported.mChangedSinceMillis.keySet().retainAll(teams);
        boolean due = reported.mHeld != demand.held();
        boolean covered = Math.max(total(demand.loads()), total(reported.mLoads)) <= demand.held();
        for (String team : teams) {
            TeamLoad before = reported.mLoads.getOrDefault(team, NONE);
            TeamLoad now = load(demand, team);
            boolean large = isLarge(before, now, demand.slots());
            due |= large && !covered;
            if (!large && (covered || !isNoticeable(before, now))) {
                reported.mChangedSinceMillis.remove(team);
            } else {
                long since = reported.mChangedSinceMillis.computeIfAbsent(team, t -> nowMillis);
                due |= nowMillis - since >= SMALL_CHANGE_MILLIS;
            }
        }
        return due;
    }

    private static boolean isLarge(TeamLoad before, TeamLoad now, int slots) {
        if (before.equals(NONE) != now.equals(NONE)) {
            return true;
        }
        int absolute = Math.max(1, slots / SLOTS_PER_THRESHOLD);
        int change = Math.abs(now.demand() - before.demand());
        return change > absolute && isNoticeable(before, now);
    }

    private static boolean isNoticeable(TeamLoad before, TeamLoad now) {
        boolean backlogged = isBacklogged(before) && isBacklogged(now);
        int divisor = backlogged ? BACKLOGGED_RELATIVE_THRESHOLD : RELATIVE_THRESHOLD;
        return Math.abs(now.demand() - before.demand()) * divisor > before.demand();
    }

    private static boolean isBacklogged(TeamLoad load) {
        return load.queued() > load.running() + 1;
    }

    private static TeamLoad load(ResourceDemand demand, String team) {
        TeamLoad load = demand.loads().getOrDefault(team, NONE);
        // Demand beyond all slots cannot change the allocation.
        int queued = Math.min(load.queued(), Math.max(0, demand.slots() - load.running()));
        return queued == load.queued() ? load : new TeamLoad(load.running(), queued);
    }

    private static int total(Map<String, TeamLoad> loads) {
        return loads.values().stream().mapToInt(TeamLoad::demand).sum();
    }
}

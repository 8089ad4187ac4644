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
 * Reports of this daemon to the coordinators: changes as they occur, everything periodically and
 * when the coordinator of a resource changes. Not thread safe; belongs to the control thread.
 */
public final class DemandReporter {
    /** Interval of complete reports, which repair lost ones; 15 s cost under 0.4 KB/s. */
    public static final long COMPLETE_INTERVAL_MILLIS = 15_000;

    /** A change below the threshold is reported if it lasts this long, so errors do not stay. */
    static final long SMALL_CHANGE_MILLIS = 2000;

    /** Queues far above what a team can run vary a lot without any effect on the allocation. */
    private static final int RELATIVE_THRESHOLD = 8;

    private static final int SLOTS_PER_THRESHOLD = 100;
    private static final TeamLoad NONE = new TeamLoad(0, 0);

    /** What was reported last for one resource. */
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
     * @param demands demand of this daemon by resource; teams and pools without any rights and
     *     demand may be left out
     * @param answering ids of the members that answer, including this daemon
     */
    public List<AddressedReport> tick(
            Map<String, ResourceDemand> demands, Collection<String> answering, long nowMillis) {
        mReported.keySet().retainAll(demands.keySet());
        List<AddressedReport> reports = new ArrayList<>();
        new TreeMap<>(demands)
                .forEach(
                        (resource, demand) ->
                                Coordinators.of(resource, answering)
                                        .flatMap(c -> report(resource, c, demand, nowMillis))
                                        .ifPresent(reports::add));
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
        boolean due = reported.mHeld != demand.held();
        for (String team : teams) {
            int before = reported.mLoads.getOrDefault(team, NONE).demand();
            int now = load(demand, team).demand();
            due |= isLarge(before, now, demand.slots());
            if (before == now) {
                reported.mChangedSinceMillis.remove(team);
            } else {
                long since = reported.mChangedSinceMillis.computeIfAbsent(team, t -> nowMillis);
                boolean matters = Math.abs(now - before) * RELATIVE_THRESHOLD > before;
                due |= matters && nowMillis - since >= SMALL_CHANGE_MILLIS;
            }
        }
        return due;
    }

    private static boolean isLarge(int before, int now, int slots) {
        if ((before == 0) != (now == 0)) {
            return true;
        }
        int absolute = Math.max(1, slots / SLOTS_PER_THRESHOLD);
        return Math.abs(now - before) > Math.max(absolute, before / RELATIVE_THRESHOLD);
    }

    private static TeamLoad load(ResourceDemand demand, String team) {
        return demand.loads().getOrDefault(team, NONE);
    }
}

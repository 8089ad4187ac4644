package org.marigoldturn.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * Stores the health reports of all other daemons and evaluates them. Soft state: a report that is
 * not repeated expires.
 *
 * <p>A host is suspect when two daemons have ejected it, or one daemon that sends a clear majority
 * of the traffic to it. Not thread safe; methods take the present time as an argument.
 */
public final class EjectionReports {
    /** Three times the interval at which a report is repeated, so that two may be lost. */
    static final long EXPIRY_MILLIS = 15_000;

    /**
     * A report by a single daemon makes a host suspect only if the daemon sends at least this part
     * of the traffic to it.
     */
    static final int CLEAR_MAJORITY_PERCENT = 67;

    private record Received(HostHealthReport report, long atMillis) {}

    private final Map<String, Map<String, Received>> mByHost = new TreeMap<>();

    /** Replaces the earlier report of the daemon about the host. */
    public void onReport(String daemon, HostHealthReport report, long nowMillis) {
        mByHost.computeIfAbsent(report.host(), host -> new TreeMap<>())
                .put(daemon, new Received(report, nowMillis));
    }

    /** Forgets expired reports, and those of daemons and hosts that do not exist any more. */
    public void retain(Collection<String> daemons, Collection<String> hosts, long nowMillis) {
        Set<String> known = new HashSet<>(daemons);
        mByHost.keySet().retainAll(new HashSet<>(hosts));
        for (Map<String, Received> reports : mByHost.values()) {
            reports.keySet().retainAll(known);
            reports.values().removeIf(received -> isExpired(received, nowMillis));
        }
        mByHost.values().removeIf(Map::isEmpty);
    }

    /**
     * Returns the suspect hosts, in descending order of the number of daemons that ejected them.
     *
     * @param ownRequests returns the number of requests of this daemon to a host in the last 10 s
     */
    public List<String> suspects(ToIntFunction<String> ownRequests, long nowMillis) {
        Map<String, Integer> ejections = new TreeMap<>();
        for (String host : mByHost.keySet()) {
            List<HostHealthReport> reports = unexpired(host, nowMillis);
            int ejecting = (int) reports.stream().filter(HostHealthReport::ejected).count();
            boolean suspect =
                    ejecting >= 2
                            || (ejecting == 1
                                    && hasClearMajority(reports, ownRequests.applyAsInt(host)));
            if (suspect) {
                ejections.put(host, ejecting);
            }
        }
        List<String> hosts = new ArrayList<>(ejections.keySet());
        hosts.sort(Comparator.comparing(ejections::get, Comparator.reverseOrder()));
        return hosts;
    }

    /**
     * Returns the hosts that a majority of the daemons with traffic to them has ejected.
     *
     * @param own reports of this daemon about the hosts that it has ejected or uses
     */
    public Set<String> ejectedByMajority(Collection<HostHealthReport> own, long nowMillis) {
        Map<String, HostHealthReport> ownByHost = new TreeMap<>();
        own.forEach(report -> ownByHost.put(report.host(), report));
        Set<String> candidates = new TreeSet<>(mByHost.keySet());
        candidates.addAll(ownByHost.keySet());
        Set<String> ejectedByMajority = new TreeSet<>();
        for (String host : candidates) {
            List<HostHealthReport> reports = unexpired(host, nowMillis);
            if (ownByHost.containsKey(host)) {
                reports.add(ownByHost.get(host));
            }
            long ejecting = reports.stream().filter(HostHealthReport::ejected).count();
            long using = reports.stream().filter(r -> r.ejected() || r.requests() > 0).count();
            if (ejecting * 2 > using) {
                ejectedByMajority.add(host);
            }
        }
        return ejectedByMajority;
    }

    /** Returns the hosts that at least one other daemon has ejected. */
    public Set<String> ejectedByAny(long nowMillis) {
        Set<String> hosts = new TreeSet<>();
        for (String host : mByHost.keySet()) {
            if (unexpired(host, nowMillis).stream().anyMatch(HostHealthReport::ejected)) {
                hosts.add(host);
            }
        }
        return hosts;
    }

    private static boolean hasClearMajority(List<HostHealthReport> reports, int ownRequests) {
        long total = ownRequests;
        long ejecting = 0;
        for (HostHealthReport report : reports) {
            total += report.requests();
            ejecting += report.ejected() ? report.requests() : 0;
        }
        return ejecting >= HostHealth.CONSECUTIVE_FAILURES_TO_EJECT
                && ejecting * 100 >= total * CLEAR_MAJORITY_PERCENT;
    }

    private List<HostHealthReport> unexpired(String host, long nowMillis) {
        List<HostHealthReport> reports = new ArrayList<>();
        for (Received received : mByHost.getOrDefault(host, Map.of()).values()) {
            if (!isExpired(received, nowMillis)) {
                reports.add(received.report());
            }
        }
        return reports;
    }

    private static boolean isExpired(Received received, long nowMillis) {
        return nowMillis - received.atMillis() >= EXPIRY_MILLIS;
    }
}

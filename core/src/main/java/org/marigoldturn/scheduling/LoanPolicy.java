package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which pool each spare host belongs to.
 *
 * <p>It addresses loads in which one queue after the other exceeds the capacity of its pool for a
 * few seconds. Spare hosts move to the services whose backlog exceeds their capacity, first from
 * the standby pool, then from pools that no longer need them, and return to the standby pool once
 * they have been idle. Stateless.
 */
public final class LoanPolicy {
    /**
     * A service whose backlog takes longer than this needs more hosts; with shorter waits jobs meet
     * their objectives.
     */
    private static final long WANTED_WAIT_MILLIS = 600;

    /**
     * For this long after a refusal a service counts as short of hosts; moving a host takes about
     * as long.
     */
    private static final long RECENT_REFUSAL_MILLIS = 1_500;

    /**
     * Idle time after which a host returns to the standby pool; staying idle for this long costs as
     * much as the move back.
     */
    private static final long RETURN_AFTER_MILLIS = 1_500;

    private LoanPolicy() {}

    /**
     * A spare host.
     *
     * @param hostId id of the host
     * @param pool service to whose pool it belongs now
     * @param cpuMillicores its processors
     * @param idleSinceMillis monotonic time since which it has had no run; {@link Long#MAX_VALUE}
     *     if it has one or if it cannot be moved now
     */
    public record SpareHost(String hostId, String pool, long cpuMillicores, long idleSinceMillis) {}

    /** The move of a host to a pool, with the reason for the log. */
    public record Move(String hostId, String toPool, String reason) {}

    /**
     * Decides the moves that are due.
     *
     * @param loads loads of all services except the standby one
     * @param hosts spare hosts; those that cannot be moved now stay where they are
     * @param standbyPool pool in which hosts incur no cost
     */
    public static List<Move> decide(
            List<ServiceLoad> loads, List<SpareHost> hosts, String standbyPool, long nowMillis) {
        List<SpareHost> free = new ArrayList<>();
        for (SpareHost host : hosts) {
            if (host.idleSinceMillis() <= nowMillis) {
                free.add(host);
            }
        }
        // Hosts in the standby pool come first, since taking them shrinks no other pool.
        free.sort(
                Comparator.<SpareHost, Boolean>comparing(h -> !h.pool().equals(standbyPool))
                        .thenComparing(SpareHost::idleSinceMillis)
                        .thenComparing(SpareHost::hostId));
        Map<String, Integer> wanted = new HashMap<>();
        Set<String> keepsHosts = new HashSet<>();
        List<ServiceLoad> order = new ArrayList<>(loads);
        order.sort(Comparator.comparing(ServiceLoad::waitMillis).reversed());
        for (ServiceLoad load : order) {
            int hostsWanted = wantedHosts(load, free, nowMillis);
            wanted.put(load.service(), hostsWanted);
            // With a partial view, restored work may wait for the hosts although it is not counted.
            if (hostsWanted > 0 || load.partialView()) {
                keepsHosts.add(load.service());
            }
        }
        List<Move> moves = new ArrayList<>();
        Set<String> moved = new HashSet<>();
        for (ServiceLoad load : order) {
            int missing = wanted.get(load.service());
            for (SpareHost host : free) {
                if (missing > 0 && !keepsHosts.contains(host.pool()) && moved.add(host.hostId())) {
                    moves.add(new Move(host.hostId(), load.service(), reason(load)));
                    missing--;
                }
            }
        }
        for (SpareHost host : free) {
            boolean onLoan = !host.pool().equals(standbyPool);
            boolean longIdle = nowMillis - host.idleSinceMillis() >= RETURN_AFTER_MILLIS;
            if (onLoan
                    && longIdle
                    && !keepsHosts.contains(host.pool())
                    && moved.add(host.hostId())) {
                moves.add(new Move(host.hostId(), standbyPool, "idle"));
            }
        }
        return moves;
    }

    private static String reason(ServiceLoad load) {
        return load.lacksHost() ? "lacks-host" : "waitMillis=" + load.waitMillis();
    }

    /** Returns how many more hosts reduce the wait of a service to {@link #WANTED_WAIT_MILLIS}. */
    private static int wantedHosts(ServiceLoad load, List<SpareHost> hosts, long nowMillis) {
        long hostMillicores = hosts.stream().mapToLong(SpareHost::cpuMillicores).min().orElse(0);
        if (hostMillicores == 0) {
            return 0;
        }
        boolean refused = nowMillis - load.lastRefusalMillis() < RECENT_REFUSAL_MILLIS;
        long excessMillis = load.waitMillis() - WANTED_WAIT_MILLIS;
        long missingMillicores = excessMillis * load.capacityMillicores() / WANTED_WAIT_MILLIS;
        int byBacklog =
                excessMillis <= 0
                        ? 0
                        : (int) ((missingMillicores + hostMillicores - 1) / hostMillicores);
        return Math.max(byBacklog, refused || load.lacksHost() ? 1 : 0);
    }
}

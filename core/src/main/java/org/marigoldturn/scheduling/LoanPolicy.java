package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides where spare hosts stand.
 *
 * <p>It answers a load whose queues in turn ask for more than their pool holds, for seconds: spare
 * hosts go to the services whose work exceeds their capacity, first from the standby pool, then
 * from pools that need them no longer, and back to the standby pool when they have been idle.
 * Stateless; without the policy each spare host stays where it is.
 */
public final class LoanPolicy {
    /** A service whose work takes longer than this needs hosts; shorter waits meet objectives. */
    private static final long WANTED_WAIT_MILLIS = 600;

    /** A refusal shows want of hosts for this long; a move takes about as long. */
    private static final long REFUSAL_COUNTS_MILLIS = 1_500;

    /** An idle host costs as much in this time as its move back. */
    private static final long RETURN_AFTER_MILLIS = 1_500;

    private LoanPolicy() {}

    /**
     * A spare host.
     *
     * @param hostId identifies it
     * @param pool service in whose pool it stands
     * @param cpuMillicores its processors
     * @param idleSinceMillis monotonic time since which nothing runs there; {@link Long#MAX_VALUE}
     *     if something does or if it cannot be moved now
     */
    public record SpareHost(String hostId, String pool, long cpuMillicores, long idleSinceMillis) {}

    /** The move of a host to a pool, with the reason for the log. */
    public record Move(String hostId, String toPool, String reason) {}

    /**
     * Decides the moves that are due.
     *
     * @param loads all services but the standby one
     * @param hosts spare hosts that can be moved now
     * @param standbyPool pool in which hosts cost nothing
     */
    public static List<Move> decide(
            List<ServiceLoad> loads, List<SpareHost> hosts, String standbyPool, long nowMillis) {
        List<SpareHost> free = new ArrayList<>();
        for (SpareHost host : hosts) {
            if (host.idleSinceMillis() <= nowMillis) {
                free.add(host);
            }
        }
        // Hosts that stand by come first: they leave no pool.
        free.sort(
                Comparator.<SpareHost, Boolean>comparing(h -> !h.pool().equals(standbyPool))
                        .thenComparing(SpareHost::idleSinceMillis)
                        .thenComparing(SpareHost::hostId));
        Map<String, Integer> wanted = new HashMap<>();
        List<ServiceLoad> order = new ArrayList<>(loads);
        order.sort(Comparator.comparing(ServiceLoad::waitMillis).reversed());
        for (ServiceLoad load : order) {
            wanted.put(load.service(), wantedHosts(load, free, nowMillis));
        }
        List<Move> moves = new ArrayList<>();
        Set<String> moved = new HashSet<>();
        for (ServiceLoad load : order) {
            int missing = wanted.get(load.service());
            for (SpareHost host : free) {
                boolean needed = wanted.getOrDefault(host.pool(), 0) > 0;
                if (missing > 0 && !needed && moved.add(host.hostId())) {
                    moves.add(new Move(host.hostId(), load.service(), reason(load)));
                    missing--;
                }
            }
        }
        for (SpareHost host : free) {
            boolean away = !host.pool().equals(standbyPool);
            boolean longIdle = nowMillis - host.idleSinceMillis() >= RETURN_AFTER_MILLIS;
            if (away
                    && longIdle
                    && wanted.getOrDefault(host.pool(), 0) == 0
                    && moved.add(host.hostId())) {
                moves.add(new Move(host.hostId(), standbyPool, "idle"));
            }
        }
        return moves;
    }

    private static String reason(ServiceLoad load) {
        return load.lacksHost() ? "lacks-host" : "waitMillis=" + load.waitMillis();
    }

    /** Returns how many more hosts bring the wait of a service to the wanted one. */
    private static int wantedHosts(ServiceLoad load, List<SpareHost> hosts, long nowMillis) {
        long each = hosts.stream().mapToLong(SpareHost::cpuMillicores).min().orElse(0);
        if (each == 0) {
            return 0;
        }
        boolean refused = nowMillis - load.lastRefusalMillis() < REFUSAL_COUNTS_MILLIS;
        long excessMillis = load.waitMillis() - WANTED_WAIT_MILLIS;
        long missing = excessMillis * load.capacityMillicores() / WANTED_WAIT_MILLIS;
        int byWork = excessMillis <= 0 ? 0 : (int) ((missing + each - 1) / each);
        return Math.max(byWork, refused || load.lacksHost() ? 1 : 0);
    }
}

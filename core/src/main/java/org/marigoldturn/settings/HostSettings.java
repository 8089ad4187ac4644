package org.marigoldturn.settings;

/**
 * Settings of a target host, which belongs to exactly one pool.
 *
 * @param rack failure domain within the zone
 * @param address IP address
 * @param port TCP port of the service on the host
 * @param slots number of requests that the host can run at the same time
 * @param connections number of connections that the host accepts
 * @param memoryMegabytes memory in MiB
 * @param maintainedAtMillis wall-clock time at which the last maintenance ended
 */
public record HostSettings(
        String name,
        String pool,
        String zone,
        String rack,
        String address,
        int port,
        int slots,
        int connections,
        int cores,
        long memoryMegabytes,
        int accelerators,
        HostState state,
        long maintainedAtMillis) {
    private static final int DEFAULT_SLOTS = 8;
    private static final int DEFAULT_CONNECTIONS = 64;

    public HostSettings {
        Names.require("host", name);
        Names.require("pool", pool);
        Names.require("zone", zone);
        rack = rack == null ? "none" : rack;
        slots = slots == 0 ? DEFAULT_SLOTS : slots;
        connections = connections == 0 ? DEFAULT_CONNECTIONS : connections;
        state = state == null ? HostState.IN_SERVICE : state;
        if (address == null || address.isBlank()) {
            throw new IllegalArgumentException("host " + name + " has no address");
        }
        if (port < 1 || port > 65535) {
            throw new IllegalArgumentException(
                    "port of host " + name + " must be 1 to 65535, not " + port);
        }
    }

    /** Returns a copy with the given pool, state and time of the last maintenance. */
    public HostSettings with(String nextPool, HostState nextState, long nextMaintainedAtMillis) {
        return new HostSettings(
                name,
                nextPool,
                zone,
                rack,
                address,
                port,
                slots,
                connections,
                cores,
                memoryMegabytes,
                accelerators,
                nextState,
                nextMaintainedAtMillis);
    }

    /** Returns a copy in the given state. */
    public HostSettings withState(HostState next) {
        return with(pool, next, maintainedAtMillis);
    }
}

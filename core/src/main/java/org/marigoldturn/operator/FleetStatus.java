package org.marigoldturn.operator;

import java.util.List;

/**
 * Status of the fleet as one daemon sees it. Immutable.
 *
 * @param daemonId daemon that answers
 * @param version settings version that the daemon holds
 * @param serving whether the daemon accepts work
 */
public record FleetStatus(
        String daemonId,
        long version,
        boolean serving,
        List<ServiceStatus> services,
        List<ZoneStatus> zones,
        List<TeamStatus> teams,
        List<DaemonStatus> daemons) {
    public FleetStatus {
        services = List.copyOf(services);
        zones = List.copyOf(zones);
        teams = List.copyOf(teams);
        daemons = List.copyOf(daemons);
    }

    /**
     * Hosts of a service against its availability budget.
     *
     * @param leavingHosts hosts that are absent by plan
     * @param failedHosts hosts that are absent without a plan
     * @param absentSlots slots that are absent
     * @param allowedSlots slots that may be absent
     */
    public record ServiceStatus(
            String service,
            String pool,
            int healthyHosts,
            int leavingHosts,
            int failedHosts,
            int totalSlots,
            int absentSlots,
            int allowedSlots,
            boolean budgetMet) {}

    /** State and number of hosts of a zone. */
    public record ZoneStatus(String zone, String region, String state, int hosts) {}

    /**
     * Usage of a team.
     *
     * @param running requests that run over the fleet
     * @param queued requests that wait over the fleet
     * @param shareWeight relative share when the fleet is at capacity
     * @param runningLimit upper limit of running requests
     */
    public record TeamStatus(
            String team, int running, int queued, int shareWeight, int runningLimit) {}

    /**
     * An entry daemon.
     *
     * @param version settings version that the daemon holds, -1 if unknown
     * @param reachesStore whether the daemon reaches the store
     */
    public record DaemonStatus(String id, String zone, long version, boolean reachesStore) {}
}

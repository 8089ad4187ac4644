package org.marigoldturn.operator;

import java.util.List;

/**
 * Status of the fleet as one daemon sees it. Immutable.
 *
 * @param daemonId daemon that reports the status
 * @param version settings version that the daemon holds
 * @param serving whether the daemon accepts requests of callers
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
     * Hosts of a service and the use of its availability budget.
     *
     * @param leavingHosts hosts that are absent as planned, including those in maintenance and
     *     those returning: not in service or in a zone out of service
     * @param failedHosts hosts that are unavailable through a failure
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
     * @param running running requests of the team in the whole fleet
     * @param queued queued requests of the team in the whole fleet
     * @param shareWeight relative share of the team when the fleet is at capacity
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

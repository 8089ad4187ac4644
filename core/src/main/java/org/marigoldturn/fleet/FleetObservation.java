package org.marigoldturn.fleet;

import java.util.Map;
import java.util.Set;

/**
 * Observation of the fleet at one moment, on which the planners base their decisions. Immutable.
 *
 * @param failedHosts hosts that are unavailable without a plan, according to the health reports or
 *     the host list
 * @param hosts observations of hosts that are not in service
 * @param demands demand by pool
 * @param expectedDrainMillis expected time to drain a host
 */
public record FleetObservation(
        Set<String> failedHosts,
        Map<String, HostObservation> hosts,
        Map<String, PoolDemand> demands,
        long expectedDrainMillis) {
    public FleetObservation {
        failedHosts = Set.copyOf(failedHosts);
        hosts = Map.copyOf(hosts);
        demands = Map.copyOf(demands);
    }
}

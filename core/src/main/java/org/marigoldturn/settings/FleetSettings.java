package org.marigoldturn.settings;

import java.util.Map;
import java.util.TreeMap;

/**
 * Settings of operators at one version, with the states and the progress that the planner writes.
 * Immutable.
 *
 * @param zones availability zones by name
 * @param pools pools by name
 * @param services services by name
 * @param teams teams by name
 * @param hosts hosts by name
 * @param policy settings and progress of the fleet planner
 */
public record FleetSettings(
        Map<String, ZoneSettings> zones,
        Map<String, PoolSettings> pools,
        Map<String, ServiceSettings> services,
        Map<String, TeamSettings> teams,
        Map<String, HostSettings> hosts,
        FleetPolicy policy) {
    /** Settings without entries, with the default policy. */
    public static final FleetSettings EMPTY =
            new FleetSettings(
                    Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), FleetPolicy.DEFAULT);

    public FleetSettings {
        zones = sorted(zones);
        pools = sorted(pools);
        services = sorted(services);
        teams = sorted(teams);
        hosts = sorted(hosts);
        policy = policy == null ? FleetPolicy.DEFAULT : policy;
    }

    /** Creates settings with the default policy. */
    public FleetSettings(
            Map<String, ZoneSettings> zones,
            Map<String, PoolSettings> pools,
            Map<String, ServiceSettings> services,
            Map<String, TeamSettings> teams,
            Map<String, HostSettings> hosts) {
        this(zones, pools, services, teams, hosts, FleetPolicy.DEFAULT);
    }

    private static <V> Map<String, V> sorted(Map<String, V> entries) {
        return entries == null
                ? Map.of()
                : java.util.Collections.unmodifiableMap(new TreeMap<>(entries));
    }
}

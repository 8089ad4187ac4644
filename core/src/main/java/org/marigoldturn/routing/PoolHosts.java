package org.marigoldturn.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marigoldturn.admission.ResourceNeeds;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.ZoneSettings;
import org.marigoldturn.settings.ZoneState;

/**
 * The hosts of one pool in one version of the settings. Immutable.
 *
 * @param hosts all hosts of the pool
 * @param inService hosts that accept requests and whose zone is not out of service
 */
public record PoolHosts(String pool, List<HostSettings> hosts, List<ZonedHost> inService) {
    /** A host with its availability zone. */
    public record ZonedHost(HostSettings host, ZoneSettings zone) {
        /** Returns the weight of the host in selections, from 0 to 1. */
        public double weight(long nowMillis) {
            return zone.state().weight(nowMillis - zone.stateSinceMillis());
        }
    }

    public PoolHosts {
        hosts = List.copyOf(hosts);
        inService = List.copyOf(inService);
    }

    /** Groups all hosts by pool; pools without hosts are included. */
    public static Map<String, PoolHosts> byPool(FleetSettings settings) {
        Map<String, List<HostSettings>> hosts = new HashMap<>();
        settings.pools().keySet().forEach(pool -> hosts.put(pool, new java.util.ArrayList<>()));
        for (HostSettings host : settings.hosts().values()) {
            hosts.computeIfAbsent(host.pool(), p -> new java.util.ArrayList<>()).add(host);
        }
        Map<String, PoolHosts> pools = new HashMap<>();
        hosts.forEach((pool, list) -> pools.put(pool, of(pool, list, settings.zones())));
        return Map.copyOf(pools);
    }

    private static PoolHosts of(
            String pool, List<HostSettings> hosts, Map<String, ZoneSettings> zones) {
        List<ZonedHost> inService =
                hosts.stream()
                        .filter(host -> host.state().acceptsWork())
                        .filter(host -> zones.containsKey(host.zone()))
                        .map(host -> new ZonedHost(host, zones.get(host.zone())))
                        .filter(host -> host.zone().state() != ZoneState.OUT_OF_SERVICE)
                        .toList();
        return new PoolHosts(pool, hosts, inService);
    }

    /** Returns whether the host is in service. */
    public boolean isInService(String hostName) {
        return inService.stream().anyMatch(zoned -> zoned.host().name().equals(hostName));
    }

    /** Returns whether any host of the pool, in service or not, has the resources. */
    public boolean fits(ResourceNeeds needs) {
        return hosts.stream().anyMatch(needs::fits);
    }
}

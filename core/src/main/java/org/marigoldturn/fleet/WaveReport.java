package org.marigoldturn.fleet;

import java.util.List;
import org.marigoldturn.settings.FleetPolicy;

/**
 * State of the maintenance of the fleet at one moment.
 *
 * @param dueHosts number of hosts in service that are due for maintenance
 * @param overdueHosts hosts whose maintenance interval has passed, most overdue first
 * @param blockedPools pools with a host that is larger than the whole budget, so that no wave can
 *     take that host
 */
public record WaveReport(
        FleetPolicy.WaveProgress wave,
        int dueHosts,
        List<String> overdueHosts,
        List<String> blockedPools) {
    public WaveReport {
        overdueHosts = List.copyOf(overdueHosts);
        blockedPools = List.copyOf(blockedPools);
    }
}

package org.marigoldturn.fleet;

import java.util.List;
import org.marigoldturn.settings.FleetPolicy;

/**
 * State of the maintenance of the fleet at one moment.
 *
 * @param dueHosts number of hosts in service that a wave may take
 * @param overdueHosts hosts whose maintenance interval has passed, most overdue first
 * @param blockedPools pools whose budget is smaller than one host, so that no wave takes any
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

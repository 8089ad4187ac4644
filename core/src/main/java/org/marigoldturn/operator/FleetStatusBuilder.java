package org.marigoldturn.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.marigoldturn.fleet.AvailabilityBudget;
import org.marigoldturn.fleet.BudgetStatus;
import org.marigoldturn.operator.FleetStatus.DaemonStatus;
import org.marigoldturn.operator.FleetStatus.ServiceStatus;
import org.marigoldturn.operator.FleetStatus.TeamStatus;
import org.marigoldturn.operator.FleetStatus.ZoneStatus;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.VersionedState;

/** Builds the fleet status from the settings in force and the present usage. Stateless. */
public final class FleetStatusBuilder {
    private FleetStatusBuilder() {}

    /**
     * Returns the status.
     *
     * @param failedHosts hosts that are unavailable through a failure
     */
    public static FleetStatus of(
            String daemonId,
            VersionedState state,
            Set<String> failedHosts,
            boolean serving,
            List<TeamStatus> teams,
            List<DaemonStatus> daemons) {
        FleetSettings settings = state.settings();
        List<ServiceStatus> services = new ArrayList<>();
        for (BudgetStatus budget : AvailabilityBudget.of(settings, failedHosts).statuses()) {
            services.add(service(settings, failedHosts, budget));
        }
        return new FleetStatus(
                daemonId, state.version(), serving, services, zones(settings), teams, daemons);
    }

    private static ServiceStatus service(
            FleetSettings settings, Set<String> failedHosts, BudgetStatus budget) {
        int healthy = 0;
        int leaving = 0;
        int failed = 0;
        for (HostSettings host : settings.hosts().values()) {
            if (!host.pool().equals(budget.pool())) {
                continue;
            }
            if (failedHosts.contains(host.name())) {
                failed++;
            } else if (AvailabilityBudget.isAbsent(settings, failedHosts, host)) {
                leaving++;
            } else {
                healthy++;
            }
        }
        return new ServiceStatus(
                budget.service(),
                budget.pool(),
                healthy,
                leaving,
                failed,
                budget.totalSlots(),
                budget.absentSlots(),
                budget.allowedSlots(),
                budget.met());
    }

    private static List<ZoneStatus> zones(FleetSettings settings) {
        return settings.zones().values().stream()
                .map(
                        zone ->
                                new ZoneStatus(
                                        zone.name(),
                                        zone.region(),
                                        zone.state().name(),
                                        (int)
                                                settings.hosts().values().stream()
                                                        .filter(h -> h.zone().equals(zone.name()))
                                                        .count()))
                .toList();
    }
}

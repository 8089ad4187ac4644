package org.marigoldturn.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.marigoldturn.fleet.AvailabilityBudget;
import org.marigoldturn.fleet.BudgetStatus;
import org.marigoldturn.operator.FleetStatus.DaemonStatus;
import org.marigoldturn.operator.FleetStatus.ServiceStatus;
import org.marigoldturn.operator.FleetStatus.TeamStatus;
import org.marigoldturn.operator.FleetStatus.ZoneStatus;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.VersionedState;

/** Status from the settings in force, with live figures from suppliers. Thread safe. */
public final class SettingsStatusSource implements StatusSource {
    private final String mDaemonId;
    private final Supplier<VersionedState> mState;
    private final Supplier<Set<String>> mFailedHosts;
    private final BooleanSupplier mServing;
    private final Supplier<List<TeamStatus>> mTeams;
    private final Supplier<List<DaemonStatus>> mDaemons;

    /** Creates a source; each supplier is called at each status and must not block. */
    public SettingsStatusSource(
            String daemonId,
            Supplier<VersionedState> state,
            Supplier<Set<String>> failedHosts,
            BooleanSupplier serving,
            Supplier<List<TeamStatus>> teams,
            Supplier<List<DaemonStatus>> daemons) {
        mDaemonId = daemonId;
        mState = state;
        mFailedHosts = failedHosts;
        mServing = serving;
        mTeams = teams;
        mDaemons = daemons;
    }

    @Override
    public FleetStatus status() {
        VersionedState state = mState.get();
        FleetSettings settings = state.settings();
        Set<String> failed = mFailedHosts.get();
        List<ServiceStatus> services = new ArrayList<>();
        for (BudgetStatus budget : AvailabilityBudget.of(settings, failed).statuses()) {
            services.add(service(settings, failed, budget));
        }
        return new FleetStatus(
                mDaemonId,
                state.version(),
                mServing.getAsBoolean(),
                services,
                zones(settings),
                mTeams.get(),
                mDaemons.get());
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

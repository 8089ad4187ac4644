package org.marigoldturn.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.marigoldturn.settings.FleetPolicy;
import org.marigoldturn.settings.FleetPolicy.WaveProgress;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.HostState;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.ZoneSettings;
import org.marigoldturn.settings.ZoneState;

/**
 * Puts draining hosts back in service when failures have caused the budget of their pool to be
 * exceeded. Stateless.
 *
 * <p>A draining host can take work again immediately; a host in maintenance cannot. A drain is
 * therefore cancelled as soon as the budget is exceeded. A completed drain that would lead to
 * maintenance is also cancelled if the budget no longer covers the reserve for one more failure
 * that a wave keeps. Drains requested by operators are not cancelled.
 */
final class DrainCanceller {
    /**
     * Cancels the drains of the least overdue hosts first, so that the most overdue ones continue.
     */
    private static final Comparator<HostSettings> LEAST_OVERDUE_FIRST =
            Comparator.comparingLong(HostSettings::maintainedAtMillis)
                    .reversed()
                    .thenComparing(HostSettings::name);

    private final HostLifecycle mLifecycle = new HostLifecycle();

    /**
     * Returns the edits that cancel drains of the wave and of loans.
     *
     * @param failedHosts hosts that are unavailable without a plan
     * @param observations observations by host of the hosts that are out of service
     */
    List<SettingsEdit> cancel(
            FleetSettings settings,
            Set<String> failedHosts,
            Map<String, HostObservation> observations) {
        List<HostSettings> candidates =
                settings.hosts().values().stream()
                        .filter(host -> isPlannedDrain(settings.policy(), host))
                        .filter(host -> isUsable(settings, failedHosts, host))
                        .sorted(LEAST_OVERDUE_FIRST)
                        .toList();
        if (candidates.isEmpty()) {
            return List.of();
        }
        EditedSettings edited = new EditedSettings(settings);
        AvailabilityBudget budget = AvailabilityBudget.of(settings, failedHosts);
        for (HostSettings host : candidates) {
            HostObservation observed = observations.getOrDefault(host.name(), HostObservation.NONE);
            if (mustCancel(settings.policy(), budget, host, observed)) {
                edited.apply(mLifecycle.cancelDrain(edited.current(), host.name()));
                edited.apply(removeFromWave(edited.current().policy(), host.name()));
                budget = AvailabilityBudget.of(edited.current(), failedHosts);
            }
        }
        return edited.edits();
    }

    private static boolean mustCancel(
            FleetPolicy policy,
            AvailabilityBudget budget,
            HostSettings host,
            HostObservation observed) {
        boolean entersMaintenance =
                observed.drain().drained() && !policy.pendingMoves().containsKey(host.name());
        return entersMaintenance ? !budget.metWithReserve(host.pool()) : !budget.met(host.pool());
    }

    private static boolean isPlannedDrain(FleetPolicy policy, HostSettings host) {
        boolean inWave =
                policy.wave().returnByMillis().containsKey(host.name())
                        || policy.wave().lateHosts().contains(host.name());
        boolean drainsForLoan =
                policy.loans().containsKey(host.name())
                        && policy.pendingMoves().containsKey(host.name());
        return host.state() == HostState.DRAINING && (inWave || drainsForLoan);
    }

    private static boolean isUsable(
            FleetSettings settings, Set<String> failedHosts, HostSettings host) {
        ZoneSettings zone = settings.zones().get(host.zone());
        boolean zoneOut = zone != null && zone.state() == ZoneState.OUT_OF_SERVICE;
        return !zoneOut && !failedHosts.contains(host.name());
    }

    /**
     * Removes a host whose drain is cancelled from the wave, so that it no longer counts as
     * started; the wave takes it again when the budgets allow. A late host stays late and counted.
     */
    private static List<SettingsEdit> removeFromWave(FleetPolicy policy, String host) {
        WaveProgress wave = policy.wave();
        if (!wave.returnByMillis().containsKey(host)) {
            return List.of();
        }
        Map<String, Long> out = new TreeMap<>(wave.returnByMillis());
        out.remove(host);
        return List.of(
                new SettingsEdit.PutPolicy(
                        policy.withWave(
                                new WaveProgress(
                                        wave.status(),
                                        wave.zone(),
                                        wave.startedHosts() - 1,
                                        out,
                                        wave.lateHosts(),
                                        wave.reason()))));
    }
}

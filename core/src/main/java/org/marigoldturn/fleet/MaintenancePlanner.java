package org.marigoldturn.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.marigoldturn.settings.FleetPolicy;
import org.marigoldturn.settings.FleetPolicy.WaveProgress;
import org.marigoldturn.settings.FleetPolicy.WaveStatus;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.HostState;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.ZoneSettings;
import org.marigoldturn.settings.ZoneState;

/**
 * Plans maintenance waves. Stateless; the progress of the wave is part of the settings.
 *
 * <p>A wave maintains the due hosts of one zone, one rack at a time, most overdue first. Each step
 * takes as many hosts as all budgets allow with the reserve for one failure, so unplanned failures
 * make a step smaller.
 */
public final class MaintenancePlanner {
    /** Largest number of hosts of a wave that may fail to return in time. */
    static final int MAX_LATE_HOSTS = 2;

    /** Largest share of the hosts of a wave that may fail to return in time. */
    static final int MAX_LATE_PERCENT = 20;

    private static final Comparator<HostSettings> MOST_OVERDUE_FIRST =
            Comparator.comparingLong(HostSettings::maintainedAtMillis)
                    .thenComparing(HostSettings::name);

    private final HostLifecycle mLifecycle = new HostLifecycle();

    /**
     * Returns the edits of the next step, empty if there is nothing to do.
     *
     * @param failedHosts hosts that are unavailable without a plan
     * @param nowMillis current wall-clock time
     */
    public List<SettingsEdit> step(
            FleetSettings settings, Set<String> failedHosts, long nowMillis) {
        FleetPolicy policy = settings.policy();
        List<SettingsEdit> edits = new ArrayList<>();
        WaveProgress wave = recordReturns(settings, policy.wave(), nowMillis);
        if (wave.status() == WaveStatus.RUNNING) {
            wave =
                    tooManyLate(wave)
                            ? wave.withStatus(WaveStatus.STOPPED, stopReason(wave))
                            : takeHosts(settings, failedHosts, wave, nowMillis, edits);
        }
        if (!wave.equals(policy.wave())) {
            edits.add(new SettingsEdit.PutPolicy(policy.withWave(wave)));
        }
        return edits;
    }

    /** Returns the edits that pause the wave; hosts that are out of service return as usual. */
    public List<SettingsEdit> pause(FleetSettings settings, String reason) {
        WaveProgress wave = settings.policy().wave();
        return wave.status() == WaveStatus.RUNNING
                ? put(settings, wave.withStatus(WaveStatus.PAUSED, reason))
                : List.of();
    }

    /**
     * Returns the edits that resume a paused or stopped wave.
     *
     * <p>Late hosts are removed from the wave, since the operator knows of them, so they do not
     * stop it again. They count as absent in the budgets until they are back in service.
     */
    public List<SettingsEdit> resume(FleetSettings settings) {
        WaveProgress wave = settings.policy().wave();
        return wave.status() == WaveStatus.RUNNING
                ? List.of()
                : put(
                        settings,
                        new WaveProgress(
                                WaveStatus.RUNNING,
                                wave.zone(),
                                wave.startedHosts(),
                                wave.returnByMillis(),
                                List.of(),
                                ""));
    }

    /**
     * Reports the state of maintenance.
     *
     * @param nowMillis current wall-clock time
     */
    public WaveReport report(FleetSettings settings, long nowMillis) {
        long interval = settings.policy().maintenanceIntervalMillis();
        AvailabilityBudget allPresent = AvailabilityBudget.withoutAbsence(settings);
        List<HostSettings> hosts =
                settings.hosts().values().stream().sorted(MOST_OVERDUE_FIRST).toList();
        return new WaveReport(
                settings.policy().wave(),
                (int) hosts.stream().filter(host -> isDue(settings, host, nowMillis)).count(),
                hosts.stream()
                        .filter(host -> nowMillis - host.maintainedAtMillis() > interval)
                        .map(HostSettings::name)
                        .toList(),
                hosts.stream()
                        .filter(host -> !allPresent.fits(host))
                        .map(HostSettings::pool)
                        .distinct()
                        .sorted()
                        .toList());
    }

    private static boolean tooManyLate(WaveProgress wave) {
        int late = wave.lateHosts().size();
        return late > MAX_LATE_HOSTS || late * 100 > wave.startedHosts() * MAX_LATE_PERCENT;
    }

    private static String stopReason(WaveProgress wave) {
        return "%d of %d hosts did not return in time: %s"
                .formatted(
                        wave.lateHosts().size(),
                        wave.startedHosts(),
                        String.join(", ", wave.lateHosts()));
    }

    /**
     * Removes the hosts that are back in service, and records those that missed their return time
     * as late.
     */
    private static WaveProgress recordReturns(
            FleetSettings settings, WaveProgress wave, long nowMillis) {
        Map<String, Long> out = new TreeMap<>(wave.returnByMillis());
        List<String> late = new ArrayList<>(wave.lateHosts());
        for (Map.Entry<String, Long> entry : wave.returnByMillis().entrySet()) {
            HostSettings host = settings.hosts().get(entry.getKey());
            boolean back = host == null || host.state() == HostState.IN_SERVICE;
            if (!back && entry.getValue() < nowMillis) {
                late.add(entry.getKey());
            }
            if (back || entry.getValue() < nowMillis) {
                out.remove(entry.getKey());
            }
        }
        return new WaveProgress(
                wave.status(), wave.zone(), wave.startedHosts(), out, late, wave.reason());
    }

    private WaveProgress takeHosts(
            FleetSettings settings,
            Set<String> failedHosts,
            WaveProgress wave,
            long nowMillis,
            List<SettingsEdit> edits) {
        AvailabilityBudget budget = AvailabilityBudget.of(settings, failedHosts);
        List<HostSettings> fitting = fittingHosts(settings, failedHosts, budget, nowMillis);
        WaveProgress current = continueOrStart(wave, fitting);
        Optional<String> rack = rackOf(settings, current, fitting);
        Map<String, Long> out = new TreeMap<>(current.returnByMillis());
        int started = current.startedHosts();
        for (HostSettings host : fitting) {
            boolean inRack =
                    host.zone().equals(current.zone()) && rack.equals(Optional.of(host.rack()));
            if (inRack && budget.fitsWithReserve(host)) {
                edits.addAll(mLifecycle.drain(settings, host.name()));
                budget = budget.withAbsent(host);
                out.put(host.name(), nowMillis + settings.policy().returnWithinMillis());
                started++;
            }
        }
        return new WaveProgress(
                current.status(),
                current.zone(),
                started,
                out,
                current.lateHosts(),
                current.reason());
    }

    /** Returns the due hosts each of which the budgets allow by itself, most overdue first. */
    private static List<HostSettings> fittingHosts(
            FleetSettings settings,
            Set<String> failedHosts,
            AvailabilityBudget budget,
            long nowMillis) {
        return settings.hosts().values().stream()
                .filter(host -> isDue(settings, host, nowMillis))
                .filter(host -> !AvailabilityBudget.isAbsent(settings, failedHosts, host))
                .filter(budget::fitsWithReserve)
                .sorted(MOST_OVERDUE_FIRST)
                .toList();
    }

    /**
     * Starts the next wave when no host of the current one is awaited and none can be taken. Late
     * hosts are not awaited.
     */
    private static WaveProgress continueOrStart(WaveProgress wave, List<HostSettings> fitting) {
        boolean hasMoreHosts = fitting.stream().anyMatch(host -> host.zone().equals(wave.zone()));
        if (hasMoreHosts || !wave.returnByMillis().isEmpty()) {
            return wave;
        }
        return fitting.isEmpty()
                ? WaveProgress.IDLE
                : new WaveProgress(
                        WaveStatus.RUNNING, fitting.get(0).zone(), 0, Map.of(), List.of(), "");
    }

    /**
     * Returns the rack whose hosts the wave awaits, late ones excepted, else the one with the most
     * overdue host that fits.
     */
    private static Optional<String> rackOf(
            FleetSettings settings, WaveProgress wave, List<HostSettings> fitting) {
        Optional<String> present =
                wave.returnByMillis().keySet().stream()
                        .map(settings.hosts()::get)
                        .map(HostSettings::rack)
                        .findFirst();
        return present.or(
                () ->
                        fitting.stream()
                                .filter(host -> host.zone().equals(wave.zone()))
                                .findFirst()
                                .map(HostSettings::rack));
    }

    private static boolean isDue(FleetSettings settings, HostSettings host, long nowMillis) {
        FleetPolicy policy = settings.policy();
        ZoneSettings zone = settings.zones().get(host.zone());
        long dueAtMillis =
                host.maintainedAtMillis()
                        + policy.maintenanceIntervalMillis()
                        - policy.maintenanceLeadMillis();
        return nowMillis >= dueAtMillis
                && host.state() == HostState.IN_SERVICE
                && (zone == null || zone.state() == ZoneState.IN_SERVICE);
    }

    private static List<SettingsEdit> put(FleetSettings settings, WaveProgress wave) {
        return List.of(new SettingsEdit.PutPolicy(settings.policy().withWave(wave)));
    }
}

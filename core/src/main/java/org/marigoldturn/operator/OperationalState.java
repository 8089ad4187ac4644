package org.marigoldturn.operator;

import java.util.HashMap;
import java.util.Map;
import org.marigoldturn.settings.FleetPolicy;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.ZoneSettings;

/**
 * Preserves the operational state of settings entries that an operator replaces.
 *
 * <p>A settings file rarely says that a host is in maintenance or that a zone is out of service.
 * Without this class, applying a file would restore drained zones and send work to hosts that
 * reboot. The state of an existing host or zone and the pool of an existing host are changed only
 * by their own commands and by the planner. The policy is preserved as a whole.
 */
final class OperationalState {
    private OperationalState() {}

    /** Returns the requested settings with the operational state of the existing entries. */
    static FleetSettings preserve(FleetSettings current, FleetSettings requested, long nowMillis) {
        Map<String, ZoneSettings> zones = new HashMap<>();
        requested.zones().forEach((name, zone) -> zones.put(name, preserve(current, zone)));
        Map<String, HostSettings> hosts = new HashMap<>();
        requested
                .hosts()
                .forEach((name, host) -> hosts.put(name, preserve(current, host, nowMillis)));
        Map<String, TeamSettings> teams = new HashMap<>();
        requested.teams().forEach((name, team) -> teams.put(name, preserve(current, team)));
        return new FleetSettings(
                zones, requested.pools(), requested.services(), teams, hosts, current.policy());
    }

    static ZoneSettings preserve(FleetSettings current, ZoneSettings requested) {
        ZoneSettings existing = current.zones().get(requested.name());
        return existing == null
                ? requested
                : new ZoneSettings(
                        requested.name(),
                        requested.region(),
                        existing.state(),
                        existing.stateSinceMillis());
    }

    /** A team that lists no keys keeps its existing ones; {@code key revoke} removes them. */
    static TeamSettings preserve(FleetSettings current, TeamSettings requested) {
        TeamSettings existing = current.teams().get(requested.name());
        return existing == null || !requested.keys().isEmpty()
                ? requested
                : new TeamSettings(
                        requested.name(),
                        requested.shareWeight(),
                        requested.runningLimit(),
                        existing.keys());
    }

    static HostSettings preserve(FleetSettings current, HostSettings requested, long nowMillis) {
        HostSettings existing = current.hosts().get(requested.name());
        if (existing == null) {
            // With time 0, all hosts of a new fleet would be due for maintenance at once.
            return requested.maintainedAtMillis() == 0
                    ? requested.with(requested.pool(), requested.state(), nowMillis)
                    : requested;
        }
        requireSamePool(current, existing, requested);
        return requested.with(
                existing.pool(),
                existing.state(),
                Math.max(existing.maintainedAtMillis(), requested.maintainedAtMillis()));
    }

    /** Returns the requested policy with the current wave, pending moves and loans. */
    static FleetPolicy preserve(FleetPolicy current, FleetPolicy requested) {
        return requested
                .withWave(current.wave())
                .withMoves(current.pendingMoves(), current.loans());
    }

    private static void requireSamePool(
            FleetSettings current, HostSettings existing, HostSettings requested) {
        String lendingPool = current.policy().loans().get(existing.name());
        if (!existing.pool().equals(requested.pool()) && !requested.pool().equals(lendingPool)) {
            throw OperatorException.badRequest(
                    "hosts/%s/pool: the host is in pool \"%s\"; use `host move %s %s`"
                            .formatted(
                                    existing.name(),
                                    existing.pool(),
                                    existing.name(),
                                    requested.pool()));
        }
    }
}

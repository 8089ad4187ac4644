package org.marigoldturn.operator;

import java.util.HashMap;
import java.util.Map;
import org.marigoldturn.settings.FleetPolicy;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.ZoneSettings;

/**
 * Keeps the operational state of entries that an operator replaces.
 *
 * <p>Files of settings rarely state that a host is in maintenance or that a zone is out of service.
 * Without this, applying a file would restore drained zones and send work to hosts that reboot.
 * Such state is changed by its own commands only. A pool is changed by {@code host move} only.
 */
final class StateKeeper {
    private StateKeeper() {}

    /** Returns the wanted settings with the state of the entries that exist already. */
    static FleetSettings keep(FleetSettings current, FleetSettings wanted, long nowMillis) {
        Map<String, ZoneSettings> zones = new HashMap<>();
        wanted.zones().forEach((name, zone) -> zones.put(name, keep(current, zone)));
        Map<String, HostSettings> hosts = new HashMap<>();
        wanted.hosts().forEach((name, host) -> hosts.put(name, keep(current, host, nowMillis)));
        Map<String, TeamSettings> teams = new HashMap<>();
        wanted.teams().forEach((name, team) -> teams.put(name, keep(current, team)));
        return new FleetSettings(
                zones, wanted.pools(), wanted.services(), teams, hosts, current.policy());
    }

    static ZoneSettings keep(FleetSettings current, ZoneSettings wanted) {
        ZoneSettings present = current.zones().get(wanted.name());
        return present == null
                ? wanted
                : new ZoneSettings(
                        wanted.name(),
                        wanted.region(),
                        present.state(),
                        present.stateSinceMillis());
    }

    /** A team without stated keys keeps its keys; they are revoked by {@code key revoke}. */
    static TeamSettings keep(FleetSettings current, TeamSettings wanted) {
        TeamSettings present = current.teams().get(wanted.name());
        return present == null || !wanted.keys().isEmpty()
                ? wanted
                : new TeamSettings(
                        wanted.name(), wanted.shareWeight(), wanted.runningLimit(), present.keys());
    }

    static HostSettings keep(FleetSettings current, HostSettings wanted, long nowMillis) {
        HostSettings present = current.hosts().get(wanted.name());
        if (present == null) {
            // Without a time a new fleet would be due for maintenance at once.
            return wanted.maintainedAtMillis() == 0
                    ? wanted.with(wanted.pool(), wanted.state(), nowMillis)
                    : wanted;
        }
        requireSamePool(current, present, wanted);
        return wanted.with(
                present.pool(),
                present.state(),
                Math.max(present.maintainedAtMillis(), wanted.maintainedAtMillis()));
    }

    /** Takes the settings of the planner, but keeps its progress. */
    static FleetPolicy keep(FleetPolicy current, FleetPolicy wanted) {
        return wanted.withWave(current.wave()).withMoves(current.pendingMoves(), current.loans());
    }

    private static void requireSamePool(
            FleetSettings current, HostSettings present, HostSettings wanted) {
        String home = current.policy().loans().get(present.name());
        if (!present.pool().equals(wanted.pool()) && !wanted.pool().equals(home)) {
            throw OperatorException.badRequest(
                    "hosts/%s/pool: the host is in pool \"%s\"; use `host move %s %s`"
                            .formatted(
                                    present.name(), present.pool(), present.name(), wanted.pool()));
        }
    }
}

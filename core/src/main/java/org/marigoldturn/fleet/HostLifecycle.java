package org.marigoldturn.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marigoldturn.settings.FleetPolicy;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.HostState;
import org.marigoldturn.settings.SettingsEdit;
import org.marigoldturn.settings.ZoneSettings;
import org.marigoldturn.settings.ZoneState;

/**
 * Moves hosts through their life cycle: in service, draining, maintenance, returning, in service.
 * Stateless.
 *
 * <p>A host that moves changes its pool in the edit that puts it in service again, after it has
 * drained. It is in exactly one pool at every version, no work of the old pool runs in the new one,
 * and its absence counts in the budgets of the old pool only.
 */
public final class HostLifecycle {
    /** Returns the edits that start to drain a host for maintenance. */
    public List<SettingsEdit> drain(FleetSettings settings, String host) {
        HostSettings present = require(settings, host);
        return present.state() == HostState.IN_SERVICE
                ? List.of(put(present, present.pool(), HostState.DRAINING, 0))
                : List.of();
    }

    /**
     * Returns the edits that drain a host and record the pool that it moves to.
     *
     * @throws IllegalArgumentException if the host or the pool does not exist, or if the host is
     *     not in service
     */
    public List<SettingsEdit> move(FleetSettings settings, String host, String pool) {
        HostSettings present = require(settings, host);
        if (!settings.pools().containsKey(pool)) {
            throw new IllegalArgumentException("pool \"" + pool + "\" does not exist");
        }
        if (present.pool().equals(pool)) {
            return List.of();
        }
        if (present.state() != HostState.IN_SERVICE) {
            throw new IllegalArgumentException(
                    "host \"" + host + "\" must be in service to be moved, not " + present.state());
        }
        FleetPolicy policy = settings.policy();
        Map<String, String> moves = new TreeMap<>(policy.pendingMoves());
        moves.put(host, pool);
        return List.of(
                put(present, present.pool(), HostState.DRAINING, 0),
                new SettingsEdit.PutPolicy(policy.withMoves(moves, policy.loans())));
    }

    /** Returns the edits that start the return of a host that is out of service. */
    public List<SettingsEdit> returnToService(FleetSettings settings, String host, long nowMillis) {
        HostSettings present = require(settings, host);
        return switch (present.state()) {
            case IN_SERVICE, RETURNING -> List.of();
            case DRAINING -> endDrain(settings, present, HostState.RETURNING);
            case MAINTENANCE ->
                    List.of(put(present, present.pool(), HostState.RETURNING, nowMillis));
        };
    }

    /**
     * Returns the edits that put a draining host in service at once and end its pending move.
     * Maintenance of the host has not begun, so it needs no check before it takes work again.
     */
    public List<SettingsEdit> cancelDrain(FleetSettings settings, String host) {
        HostSettings present = require(settings, host);
        return present.state() == HostState.DRAINING
                ? endDrain(settings, present, HostState.IN_SERVICE)
                : List.of();
    }

    /**
     * Returns the edits that move each host to its next state if the observations allow it.
     *
     * @param observations observations by host; a host without one stays as it is
     * @param nowMillis current wall-clock time
     */
    public List<SettingsEdit> advance(
            FleetSettings settings, Map<String, HostObservation> observations, long nowMillis) {
        List<SettingsEdit> edits = new ArrayList<>();
        Map<String, String> moves = new TreeMap<>(settings.policy().pendingMoves());
        moves.entrySet()
                .removeIf(
                        move ->
                                !settings.hosts().containsKey(move.getKey())
                                        || !settings.pools().containsKey(move.getValue()));
        for (Map.Entry<String, HostObservation> entry : observations.entrySet()) {
            HostSettings host = settings.hosts().get(entry.getKey());
            if (host != null && host.state() != HostState.IN_SERVICE) {
                advanceOne(settings, host, entry.getValue(), moves, nowMillis, edits);
            }
        }
        FleetPolicy policy = settings.policy();
        if (!moves.equals(policy.pendingMoves())) {
            edits.add(new SettingsEdit.PutPolicy(policy.withMoves(moves, policy.loans())));
        }
        return edits;
    }

    private static void advanceOne(
            FleetSettings settings,
            HostSettings host,
            HostObservation observed,
            Map<String, String> pendingMoves,
            long nowMillis,
            List<SettingsEdit> edits) {
        boolean drained = host.state() == HostState.DRAINING && observed.drain().drained();
        if (drained) {
            boolean moves = pendingMoves.containsKey(host.name());
            HostState next = moves ? HostState.RETURNING : HostState.MAINTENANCE;
            edits.add(put(host, host.pool(), next, 0));
        } else if (host.state() == HostState.MAINTENANCE && observed.maintenanceDone()) {
            edits.add(put(host, host.pool(), HostState.RETURNING, nowMillis));
        } else if (host.state() == HostState.RETURNING && observed.live()) {
            enterService(settings, host, pendingMoves, edits);
        }
    }

    /**
     * Puts a host in service, in its new pool if a move is pending. A host whose zone is out of
     * service does not change its pool yet: it would add to the absent slots of the new pool, whose
     * budget has not been checked for that.
     */
    private static void enterService(
            FleetSettings settings,
            HostSettings host,
            Map<String, String> pendingMoves,
            List<SettingsEdit> edits) {
        ZoneSettings zone = settings.zones().get(host.zone());
        boolean zoneOut = zone != null && zone.state() == ZoneState.OUT_OF_SERVICE;
        if (!pendingMoves.containsKey(host.name())) {
            edits.add(put(host, host.pool(), HostState.IN_SERVICE, 0));
        } else if (!zoneOut) {
            edits.add(put(host, pendingMoves.remove(host.name()), HostState.IN_SERVICE, 0));
        }
    }

    private static List<SettingsEdit> endDrain(
            FleetSettings settings, HostSettings host, HostState next) {
        List<SettingsEdit> edits = new ArrayList<>();
        edits.add(put(host, host.pool(), next, 0));
        FleetPolicy policy = settings.policy();
        if (policy.pendingMoves().containsKey(host.name())) {
            Map<String, String> moves = new TreeMap<>(policy.pendingMoves());
            moves.remove(host.name());
            edits.add(new SettingsEdit.PutPolicy(policy.withMoves(moves, policy.loans())));
        }
        return edits;
    }

    /**
     * Returns an edit that stores the host with a new pool and state.
     *
     * @param maintainedAtMillis end of the maintenance, 0 to keep the recorded time
     */
    private static SettingsEdit put(
            HostSettings host, String pool, HostState state, long maintainedAtMillis) {
        return new SettingsEdit.PutHost(
                host.with(
                        pool,
                        state,
                        maintainedAtMillis == 0 ? host.maintainedAtMillis() : maintainedAtMillis));
    }

    private static HostSettings require(FleetSettings settings, String host) {
        HostSettings found = settings.hosts().get(host);
        if (found == null) {
            throw new IllegalArgumentException("host \"" + host + "\" does not exist");
        }
        return found;
    }
}

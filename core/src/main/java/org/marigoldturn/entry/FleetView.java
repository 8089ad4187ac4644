package org.marigoldturn.entry;

import java.util.Map;
import org.marigoldturn.routing.PoolHosts;
import org.marigoldturn.settings.VersionedState;

/** A version of the settings with its hosts grouped by pool. Immutable. */
record FleetView(VersionedState state, Map<String, PoolHosts> pools) {
    static FleetView of(VersionedState state) {
        return new FleetView(state, PoolHosts.byPool(state.settings()));
    }

    PoolHosts pool(String name) {
        return pools.getOrDefault(
                name, new PoolHosts(name, java.util.List.of(), java.util.List.of()));
    }

    /**
     * Returns the number of members, among which the connections to a host are divided; at least 1.
     */
    int memberCount() {
        return Math.max(1, state.members().members().size());
    }
}

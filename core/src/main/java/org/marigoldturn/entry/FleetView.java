package org.marigoldturn.entry;

import java.util.Map;
import org.marigoldturn.routing.PoolHosts;
import org.marigoldturn.settings.VersionedState;

/** One version with its hosts grouped by pool, computed once for each version. Immutable. */
record FleetView(VersionedState state, Map<String, PoolHosts> pools) {
    static FleetView of(VersionedState state) {
        return new FleetView(state, PoolHosts.byPool(state.settings()));
    }

    PoolHosts pool(String name) {
        return pools.getOrDefault(
                name, new PoolHosts(name, java.util.List.of(), java.util.List.of()));
    }

    int members() {
        return Math.max(1, state.members().members().size());
    }
}

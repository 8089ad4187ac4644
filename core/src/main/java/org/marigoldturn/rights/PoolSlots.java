package org.marigoldturn.rights;

import java.util.HashMap;
import java.util.Map;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.VersionedState;

/**
 * Counts the slots of the hosts of each pool on which requests may start, once for each state.
 *
 * <p>Callers ask for each pool every second; without the cache each second would take 95 passes
 * over all hosts at the design size of 95 pools. Not thread safe; used by the control thread only.
 */
public final class PoolSlots {
    private VersionedState mState;
    private Map<String, Integer> mSlots = Map.of();

    /** Returns the number of slots of the pool's in-service hosts in the state. */
    @SuppressWarnings("ReferenceEquality") // States are immutable; equals() would be costly.
    public int slots(VersionedState state, String pool) {
        if (state != mState) {
            mSlots = count(state);
            mState = state;
        }
        return mSlots.getOrDefault(pool, 0);
    }

    private static Map<String, Integer> count(VersionedState state) {
        Map<String, Integer> slots = new HashMap<>();
        for (HostSettings host : state.settings().hosts().values()) {
            if (HostSlots.inService(state.settings(), host)) {
                slots.merge(host.pool(), host.slots(), Integer::sum);
            }
        }
        return slots;
    }
}

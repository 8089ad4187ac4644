package org.marigoldturn.rights;

import java.util.HashMap;
import java.util.Map;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.VersionedState;

/**
 * Slots of the hosts of each pool on which work may start, counted once for each state.
 *
 * <p>The callers ask for each pool every second; counting each time would pass over all hosts 95
 * times at the design size. Not thread safe; belongs to the control thread.
 */
public final class PoolSlots {
    private VersionedState mState;
    private Map<String, Integer> mSlots = Map.of();

    /** Returns the slots of the pool in the state. */
    @SuppressWarnings("ReferenceEquality") // States are immutable; a comparison would be costly.
    public int of(VersionedState state, String pool) {
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

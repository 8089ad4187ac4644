package org.marigoldturn.shares;

import java.util.Map;
import java.util.TreeMap;

/**
 * Demand of one daemon for the slots of a pool or for the rights of a team's limit.
 *
 * @param held rights held, see {@code RightsLedger.held}
 * @param free rights that could be transferred now, see {@code RightsLedger.transferable}
 * @param slots capacity: slots of the pool, or the running limit of the team
 * @param loads active teams by name; for a team limit only the team itself
 */
public record ResourceDemand(int held, int free, int slots, Map<String, TeamLoad> loads) {
    /**
     * Requests of one team at one daemon.
     *
     * @param running number of running requests
     * @param queued number of queued requests
     */
    public record TeamLoad(int running, int queued) {
        /** Returns how many requests would run at unlimited capacity. */
        public int demand() {
            return running + queued;
        }
    }

    public ResourceDemand {
        loads = java.util.Collections.unmodifiableMap(new TreeMap<>(loads));
    }
}

package org.marigoldturn.settings;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Division of all rights at one version. Immutable.
 *
 * @param teams division of each team's limit, by team name
 * @param slotEpoch epoch of the division of host slots
 * @param slotDaemons daemons among which host slots are divided by rendezvous hashing
 */
public record RightsDivision(
        Map<String, ResourceDivision> teams, long slotEpoch, List<String> slotDaemons) {
    /** The division before the first daemon joins. */
    public static final RightsDivision EMPTY = new RightsDivision(Map.of(), 0, List.of());

    public RightsDivision {
        teams = java.util.Collections.unmodifiableMap(new TreeMap<>(teams));
        slotDaemons = List.copyOf(slotDaemons);
    }
}

package org.marigoldturn.settings;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Division of all rights at one version. Immutable.
 *
 * @param teams division of the rights of each team's limit, by team name
 * @param slots division of the slots of the hosts
 */
public record RightsDivision(Map<String, ResourceDivision> teams, SlotDivision slots) {
    /** The division before the first daemon joins. */
    public static final RightsDivision EMPTY = new RightsDivision(Map.of(), SlotDivision.EMPTY);

    public RightsDivision {
        teams = Collections.unmodifiableMap(new TreeMap<>(teams));
    }
}

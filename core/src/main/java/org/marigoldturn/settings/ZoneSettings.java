package org.marigoldturn.settings;

/**
 * Settings of an availability zone.
 *
 * @param region region that the zone is part of
 * @param state service state
 * @param stateSinceMillis wall-clock time at which the state was entered
 */
public record ZoneSettings(String name, String region, ZoneState state, long stateSinceMillis) {
    public ZoneSettings {
        Names.require("zone", name);
        Names.require("region", region);
        state = state == null ? ZoneState.IN_SERVICE : state;
    }
}

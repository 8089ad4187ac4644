package org.marigoldturn.settings;

import java.util.List;

/**
 * A team that submits work.
 *
 * @param shareWeight relative share when the fleet is full, at least 1
 * @param runningLimit upper limit of running requests over the fleet, 0 or more
 * @param keys keys that are in force
 */
public record TeamSettings(String name, int shareWeight, int runningLimit, List<TeamKey> keys) {
    public TeamSettings {
        Names.require("team", name);
        keys = keys == null ? List.of() : List.copyOf(keys);
        if (shareWeight < 1) {
            throw new IllegalArgumentException(
                    "shareWeight of team " + name + " must be at least 1, not " + shareWeight);
        }
        if (runningLimit < 0) {
            throw new IllegalArgumentException(
                    "runningLimit of team " + name + " must not be negative, not " + runningLimit);
        }
    }
}

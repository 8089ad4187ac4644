package org.marigoldturn.settings;

import java.util.List;

/**
 * Settings of a team that sends requests.
 *
 * @param shareWeight relative share of the fleet when it is full, at least 1
 * @param runningLimit maximum number of running requests in the whole fleet, 0 or more
 * @param keys valid keys
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

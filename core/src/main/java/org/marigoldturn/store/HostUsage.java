package org.marigoldturn.store;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Usage of one host as reported by the platform.
 *
 * @param host name of the host
 * @param reportedAtMillis wall-clock time at which the platform observed the host
 * @param runningByOwner running requests by id of the daemon that owns them
 */
public record HostUsage(String host, long reportedAtMillis, Map<String, Integer> runningByOwner) {
    public HostUsage {
        Objects.requireNonNull(host, "host");
        runningByOwner = Collections.unmodifiableMap(new TreeMap<>(runningByOwner));
    }

    /** Returns the number of running requests that the daemon owns. */
    public int runningRequests(String daemonId) {
        return runningByOwner.getOrDefault(daemonId, 0);
    }
}

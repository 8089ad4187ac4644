package org.marigoldturn.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts the requests of this daemon that run on each host, including those that may still run
 * there with an unknown outcome. Thread safe.
 */
public final class HostLoads {
    private final Map<String, Integer> mRunning = new ConcurrentHashMap<>();

    /** Counts a started attempt. */
    public void started(String host) {
        mRunning.merge(host, 1, Integer::sum);
    }

    /** Subtracts an ended attempt. */
    public void ended(String host) {
        mRunning.computeIfPresent(host, (h, running) -> running > 1 ? running - 1 : null);
    }

    /** Returns the number of running attempts. */
    public int running(String host) {
        return mRunning.getOrDefault(host, 0);
    }
}

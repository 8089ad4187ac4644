package org.marigoldturn.rights;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Collects evidence that daemons have ended and that none of their requests still runs on a host.
 *
 * <p>Elapsed time is never evidence: a paused daemon resumes with its rights. The end of a daemon
 * is recorded with the time at which this daemon learned of it, and a usage report counts only if
 * it was requested later than that. Not thread safe; used by the control thread only.
 */
public final class EndedDaemons {
    private final Map<String, Long> mEndedAtMillis = new HashMap<>();
    private final Set<String> mShutdownMessages = new HashSet<>();

    /**
     * Request time of the latest usage report that lists no request of the daemon, by daemon and
     * host.
     */
    private final Map<String, Map<String, Long>> mWithoutRequestsAtMillis = new HashMap<>();

    /** Records that the process has certainly ended; repeated calls keep the first time. */
    public void onEnded(String daemon, long nowMillis) {
        mEndedAtMillis.putIfAbsent(daemon, nowMillis);
    }

    /** Records the final shutdown message: no request of the daemon runs or can start. */
    public void onShutdownMessage(String daemon, long nowMillis) {
        onEnded(daemon, nowMillis);
        mShutdownMessages.add(daemon);
    }

    /**
     * Records the usage report of one host.
     *
     * @param requestedAtMillis time at which this daemon requested the report from the host
     * @param owners daemons whose requests run on the host
     */
    public void onUsageReport(String host, long requestedAtMillis, Set<String> owners) {
        for (Map.Entry<String, Long> ended : mEndedAtMillis.entrySet()) {
            boolean requestedAfterEnd = requestedAtMillis > ended.getValue();
            if (requestedAfterEnd && !owners.contains(ended.getKey())) {
                mWithoutRequestsAtMillis
                        .computeIfAbsent(ended.getKey(), name -> new HashMap<>())
                        .put(host, requestedAtMillis);
            }
        }
    }

    /** Returns whether the process of the daemon has certainly ended. */
    public boolean hasEnded(String daemon) {
        return mEndedAtMillis.containsKey(daemon);
    }

    /**
     * Returns the ended daemons of which certainly no request runs.
     *
     * @param hosts all hosts on which requests may run, including those that are out of service
     */
    public Set<String> withoutRequests(Set<String> hosts) {
        Set<String> withoutRequests = new TreeSet<>(mShutdownMessages);
        for (String daemon : mEndedAtMillis.keySet()) {
            if (mWithoutRequestsAtMillis
                    .getOrDefault(daemon, Map.of())
                    .keySet()
                    .containsAll(hosts)) {
                withoutRequests.add(daemon);
            }
        }
        return withoutRequests;
    }

    /** Returns the given hosts from which a usage report is needed for some ended daemon. */
    public Set<String> hostsToReport(Set<String> hosts) {
        Set<String> hostsToReport = new TreeSet<>();
        for (String daemon : mEndedAtMillis.keySet()) {
            if (!mShutdownMessages.contains(daemon)) {
                Set<String> reported =
                        mWithoutRequestsAtMillis.getOrDefault(daemon, Map.of()).keySet();
                hosts.stream().filter(host -> !reported.contains(host)).forEach(hostsToReport::add);
            }
        }
        return hostsToReport;
    }

    /** Drops the evidence about a daemon that is no longer part of any division. */
    public void forget(String daemon) {
        mEndedAtMillis.remove(daemon);
        mShutdownMessages.remove(daemon);
        mWithoutRequestsAtMillis.remove(daemon);
    }
}

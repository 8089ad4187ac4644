package org.marigoldturn.rights;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Evidence that a daemon has ended and that nothing of it runs on any host.
 *
 * <p>Elapsed time is never evidence: a paused daemon resumes with its rights. Times are those at
 * which this daemon learned of an event, so a report counts only if it was requested after that.
 * Not thread safe; belongs to the control thread.
 */
public final class EndedDaemons {
    private final Map<String, Long> mEndedAtMillis = new HashMap<>();
    private final Set<String> mFarewells = new HashSet<>();

    /** Time of the latest report of each host that shows nothing of the daemon. */
    private final Map<String, Map<String, Long>> mClearAtMillis = new HashMap<>();

    /** Records that the process has certainly ended; the earliest time counts. */
    public void onEnded(String daemon, long nowMillis) {
        mEndedAtMillis.putIfAbsent(daemon, nowMillis);
    }

    /** Records the final shutdown message: nothing of the daemon runs or can start. */
    public void onFarewell(String daemon, long nowMillis) {
        onEnded(daemon, nowMillis);
        mFarewells.add(daemon);
    }

    /**
     * Records the usage report of one host.
     *
     * @param requestedAtMillis time at which this daemon asked the host for the report
     * @param owners daemons of which requests run on the host
     */
    public void onUsageReport(String host, long requestedAtMillis, Set<String> owners) {
        for (Map.Entry<String, Long> ended : mEndedAtMillis.entrySet()) {
            boolean later = requestedAtMillis > ended.getValue();
            if (later && !owners.contains(ended.getKey())) {
                mClearAtMillis
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
     * Returns the ended daemons of which nothing runs.
     *
     * @param hosts all hosts on which work may run, including those that are out of service
     */
    public Set<String> clear(Set<String> hosts) {
        Set<String> clear = new TreeSet<>(mFarewells);
        for (String daemon : mEndedAtMillis.keySet()) {
            if (mClearAtMillis.getOrDefault(daemon, Map.of()).keySet().containsAll(hosts)) {
                clear.add(daemon);
            }
        }
        return clear;
    }

    /** Returns the given hosts of which a report is still needed for some ended daemon. */
    public Set<String> unreported(Set<String> hosts) {
        Set<String> unreported = new TreeSet<>();
        for (String daemon : mEndedAtMillis.keySet()) {
            if (!mFarewells.contains(daemon)) {
                Set<String> reported = mClearAtMillis.getOrDefault(daemon, Map.of()).keySet();
                hosts.stream().filter(host -> !reported.contains(host)).forEach(unreported::add);
            }
        }
        return unreported;
    }

    /** Drops the evidence of a daemon that is no longer part of any division. */
    public void forget(String daemon) {
        mEndedAtMillis.remove(daemon);
        mFarewells.remove(daemon);
        mClearAtMillis.remove(daemon);
    }
}

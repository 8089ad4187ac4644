package org.marigoldturn.store;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * This daemon's copy of the host list, kept up to date from responses that hold only changes.
 *
 * <p>Invariant: the copy equals the list at one revision of one instance. Changes are applied only
 * to the revision that they start from, and the counts of the response must match the result;
 * otherwise the copy stays unchanged and the next query requests all entries. A response is ignored
 * if its query is not newer than the last one applied, so duplicate and late responses have no
 * effect. Not thread safe.
 */
public final class HostListMirror {
    /** Time between complete reads; 70 KB for 1,700 hosts is 120 bytes a second on average. */
    public static final long COMPLETE_INTERVAL_MILLIS = 600_000;

    /** Result of applying a response. */
    public enum Outcome {
        APPLIED,
        /** The response to this query or to a later one was applied before. */
        OUTDATED,
        /** The changes do not fit the copy; the next query requests all entries. */
        GAP
    }

    private Map<String, HostPresence> mHosts = Map.of();
    private String mInstance = "";
    private long mRevision;
    private long mAppliedQuery = -1;
    private long mCompleteReadMillis;

    /**
     * Returns the next query; it requests all entries if there is no copy or a complete read is
     * due.
     */
    public HostListQuery query(Set<String> usageHosts, long nowMillis) {
        boolean completeReadDue = nowMillis - mCompleteReadMillis >= COMPLETE_INTERVAL_MILLIS;
        return mInstance.isEmpty() || completeReadDue
                ? new HostListQuery("", 0, usageHosts)
                : new HostListQuery(mInstance, mRevision, usageHosts);
    }

    /**
     * Applies a response.
     *
     * @param queryNumber number of the query, greater than that of each query sent before it
     */
    public Outcome apply(HostListResponse response, long queryNumber, long nowMillis) {
        if (queryNumber <= mAppliedQuery) {
            return Outcome.OUTDATED;
        }
        boolean complete = response.since().isEmpty();
        boolean startsAtCopy =
                response.instance().equals(mInstance) && response.since().orElse(-1) == mRevision;
        Map<String, HostPresence> hosts = new HashMap<>(complete ? Map.of() : mHosts);
        hosts.keySet().removeAll(response.removed());
        hosts.putAll(response.changed());
        if ((!complete && !startsAtCopy) || !counts(hosts).equals(response.counts())) {
            mInstance = "";
            return Outcome.GAP;
        }
        mAppliedQuery = queryNumber;
        mInstance = response.instance();
        mRevision = response.revision();
        mHosts = Map.copyOf(hosts);
        if (complete) {
            mCompleteReadMillis = nowMillis;
        }
        return Outcome.APPLIED;
    }

    /** Returns the state of each listed host. Immutable. */
    public Map<String, HostPresence> hosts() {
        return mHosts;
    }

    private static Map<HostPresence, Integer> counts(Map<String, HostPresence> hosts) {
        Map<HostPresence, Integer> counts = new EnumMap<>(HostPresence.class);
        for (HostPresence presence : HostPresence.values()) {
            counts.put(presence, 0);
        }
        hosts.values().forEach(presence -> counts.merge(presence, 1, Integer::sum));
        return counts;
    }
}

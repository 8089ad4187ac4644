package org.marigoldturn.store;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * This daemon's copy of the host list, kept up to date from answers that hold only changes.
 *
 * <p>Invariant: the copy is that of one revision of one instance. Changes are applied only to the
 * revision that they start from, and the counts of the answer must match the result; otherwise the
 * copy stays as it is and the next query asks for all entries. An answer to a query that was sent
 * before the last applied one is ignored, so doubled and late answers change nothing. Not thread
 * safe.
 */
public final class HostListMirror {
    /** Time between complete reads; at 1,700 hosts one is about 70 KB, or 120 bytes a second. */
    public static final long COMPLETE_INTERVAL_MILLIS = 600_000;

    /** What became of an answer. */
    public enum Outcome {
        APPLIED,
        /** A later query was answered before. */
        OUTDATED,
        /** The changes do not follow from the copy; the next query asks for all entries. */
        GAP
    }

    private Map<String, HostPresence> mHosts = Map.of();
    private String mInstance = "";
    private long mRevision;
    private long mAppliedQuery = -1;
    private long mCompleteAtMillis;

    /** Returns the next query, which asks for all entries if the copy is missing or due. */
    public HostListQuery query(Set<String> usageOf, long nowMillis) {
        boolean due = nowMillis - mCompleteAtMillis >= COMPLETE_INTERVAL_MILLIS;
        return mInstance.isEmpty() || due
                ? new HostListQuery("", 0, usageOf)
                : new HostListQuery(mInstance, mRevision, usageOf);
    }

    /**
     * Applies an answer.
     *
     * @param queryNumber number of the query, greater than that of each query sent before it
     */
    public Outcome apply(HostListAnswer answer, long queryNumber, long nowMillis) {
        if (queryNumber <= mAppliedQuery) {
            return Outcome.OUTDATED;
        }
        boolean complete = answer.since().isEmpty();
        boolean follows =
                answer.instance().equals(mInstance) && answer.since().orElse(-1) == mRevision;
        Map<String, HostPresence> hosts = new HashMap<>(complete ? Map.of() : mHosts);
        hosts.keySet().removeAll(answer.removed());
        hosts.putAll(answer.changed());
        if ((!complete && !follows) || !counts(hosts).equals(answer.counts())) {
            mInstance = "";
            return Outcome.GAP;
        }
        mAppliedQuery = queryNumber;
        mInstance = answer.instance();
        mRevision = answer.revision();
        mHosts = Map.copyOf(hosts);
        if (complete) {
            mCompleteAtMillis = nowMillis;
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

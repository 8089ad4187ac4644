package org.marigoldturn.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.QueryParams;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's host list, with a settable lag. It responds with the changes since a
 * revision, as docs/operators.md describes.
 *
 * <p>A report becomes visible once the lag has passed since it was added. Thread safe.
 */
final class HostList {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String REMOVED = "removed";

    /** Reports of each host by the time at which they were added. */
    private final Map<String, TreeMap<Long, ObjectNode>> mReports = new TreeMap<>();

    /**
     * State in which each host was last listed, possibly {@code removed}, with the revision of that
     * state.
     */
    private final Map<String, Listed> mListed = new TreeMap<>();

    private record Listed(String state, long revision) {}

    private long mLagMillis;
    private int mInstance = 1;
    private long mRevision;

    /**
     * Oldest revision since which changes are known; removals up to it are forgotten. A restart
     * does not reset it.
     */
    private long mOldestRevision;

    /**
     * Applies {@code {"lagMillis": N, "hosts": [{"name", "state", "running", "reportedAtMillis"}],
     * "restart": true, "forgetRemovals": true}}, all optional.
     *
     * <p>The state {@code removed} removes a host from the list. The report time of a host is the
     * current time unless it is given. {@code restart} starts a new instance at revision 0, {@code
     * forgetRemovals} drops the removed hosts, so that queries since an older revision get the
     * whole list.
     */
    synchronized ObjectNode apply(JsonNode body, long nowMillis) {
        mLagMillis = body.path("lagMillis").asLong(mLagMillis);
        for (JsonNode host : body.path("hosts")) {
            ObjectNode report = host.deepCopy();
            if (!report.path("name").isTextual() || !report.path("state").isTextual()) {
                throw new IllegalArgumentException(
                        "expected a host with the text fields name and state: " + host);
            }
            if (!report.has("reportedAtMillis")) {
                report.put("reportedAtMillis", nowMillis);
            }
            mReports.computeIfAbsent(report.path("name").asText(), name -> new TreeMap<>())
                    .put(nowMillis, report);
        }
        if (body.path("restart").asBoolean()) {
            mInstance++;
            mRevision = 0;
            mListed.clear();
        }
        if (body.path("forgetRemovals").asBoolean()) {
            mListed.values().removeIf(listed -> listed.state().equals(REMOVED));
            mOldestRevision = mRevision;
        }
        return JSON.createObjectNode().put("lagMillis", mLagMillis);
    }

    /** Responds to a query with the reports that are visible after the lag. */
    synchronized ObjectNode list(QueryParams query, long nowMillis) {
        refresh(nowMillis);
        String instance = Integer.toString(mInstance);
        long since = query.getLong("since", -1);
        boolean incremental =
                instance.equals(query.get("instance"))
                        && since >= mOldestRevision
                        && since <= mRevision;
        ObjectNode reply = JSON.createObjectNode().put("instance", instance);
        if (incremental) {
            reply.put("since", since);
        }
        reply.put("revision", mRevision);
        ObjectNode counts = reply.putObject("counts");
        ArrayNode hosts = reply.putArray("hosts");
        mListed.forEach(
                (name, listed) -> {
                    boolean removed = listed.state().equals(REMOVED);
                    boolean changed = !incremental || listed.revision() > since;
                    if (!removed) {
                        counts.put(listed.state(), counts.path(listed.state()).asInt() + 1);
                    }
                    if (changed && !removed) {
                        hosts.addObject().put("name", name).put("state", listed.state());
                    } else if (incremental && changed) {
                        reply.withArray(REMOVED).add(name);
                    }
                });
        addUsage(reply, query.getAll("usage"));
        return reply;
    }

    private void addUsage(ObjectNode reply, List<String> requested) {
        mReports.forEach(
                (name, reports) -> {
                    Listed listed = mListed.get(name);
                    boolean present = listed != null && !listed.state().equals(REMOVED);
                    if (present && (requested.contains(name) || requested.contains("*"))) {
                        ObjectNode report = reports.firstEntry().getValue();
                        ObjectNode usage = reply.withArray("usage").addObject().put("name", name);
                        usage.set("reportedAtMillis", report.get("reportedAtMillis"));
                        usage.set(
                                "running",
                                report.has("running")
                                        ? report.get("running")
                                        : JSON.createObjectNode());
                    }
                });
    }

    /**
     * Drops the reports that a later visible one replaces, and gives each change of state a
     * revision.
     */
    private void refresh(long nowMillis) {
        mReports.forEach(
                (name, reports) -> {
                    Map.Entry<Long, ObjectNode> visible =
                            reports.floorEntry(nowMillis - mLagMillis);
                    if (visible == null) {
                        return;
                    }
                    reports.headMap(visible.getKey()).clear();
                    String state = visible.getValue().path("state").asText();
                    Listed listed = mListed.get(name);
                    boolean unknown = listed == null && state.equals(REMOVED);
                    if (!unknown && (listed == null || !listed.state().equals(state))) {
                        mRevision++;
                        mListed.put(name, new Listed(state, mRevision));
                    }
                });
    }
}

package org.marigoldturn.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's host list, with a settable lag.
 *
 * <p>Each report becomes visible once the lag has passed since it was put. Thread safe.
 */
final class HostList {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Reports of each host by the time at which they were put. */
    private final Map<String, TreeMap<Long, ObjectNode>> mReports = new TreeMap<>();

    private long mLagMillis;

    /**
     * Applies {@code {"lagMillis": N, "hosts": [{"name", "state", "running"}]}}, both optional.
     *
     * <p>The report time of a host is the present time unless it is given.
     */
    synchronized ObjectNode apply(JsonNode body, long nowMillis) {
        mLagMillis = body.path("lagMillis").asLong(mLagMillis);
        for (JsonNode host : body.path("hosts")) {
            ObjectNode report = host.deepCopy();
            if (!report.path("name").isTextual() || !report.path("state").isTextual()) {
                throw new IllegalArgumentException("host without name or state: " + host);
            }
            if (!report.has("reportedAtMillis")) {
                report.put("reportedAtMillis", nowMillis);
            }
            mReports.computeIfAbsent(report.path("name").asText(), name -> new TreeMap<>())
                    .put(nowMillis, report);
        }
        return JSON.createObjectNode().put("lagMillis", mLagMillis);
    }

    /** Returns the list as it was before the lag. */
    synchronized ObjectNode list(long nowMillis) {
        ObjectNode reply = JSON.createObjectNode();
        ArrayNode hosts = reply.putArray("hosts");
        for (TreeMap<Long, ObjectNode> reports : mReports.values()) {
            Map.Entry<Long, ObjectNode> visible = reports.floorEntry(nowMillis - mLagMillis);
            if (visible != null) {
                reports.headMap(visible.getKey()).clear();
                hosts.add(visible.getValue());
            }
        }
        return reply;
    }
}

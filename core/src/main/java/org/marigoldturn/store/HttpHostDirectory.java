package org.marigoldturn.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.QueryParams;
import com.linecorp.armeria.common.QueryParamsBuilder;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Reads the host list as JSON from {@code GET /hosts}; docs/operators.md describes the endpoint.
 *
 * <p>A response with any invalid entry is rejected as a whole: if only that entry were skipped, its
 * host would look like one without running requests. Thread safe.
 */
public final class HttpHostDirectory implements HostDirectory {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long PING_INTERVAL_MILLIS = 5_000;
    private static final long MAX_RESPONSE_BYTES = 8L << 20;

    /** With more hosts, the query requests the reports of all hosts, to limit its length. */
    private static final int MAX_HOSTS_IN_QUERY = 64;

    private static final String ALL_HOSTS = "*";

    private final ClientFactory mClientFactory;
    private final WebClient mClient;

    /**
     * Creates an adapter.
     *
     * @param endpoint base URI of the service
     * @param timeoutMillis time limit of one read
     */
    public HttpHostDirectory(URI endpoint, long timeoutMillis) {
        if (timeoutMillis <= 0) {
            throw new IllegalArgumentException(
                    "host list timeout must be positive: " + timeoutMillis);
        }
        mClientFactory =
                ClientFactory.builder()
                        .connectTimeoutMillis(timeoutMillis)
                        .pingIntervalMillis(PING_INTERVAL_MILLIS)
                        .build();
        mClient =
                WebClient.builder(endpoint)
                        .factory(mClientFactory)
                        .responseTimeoutMillis(timeoutMillis)
                        .maxResponseLength(MAX_RESPONSE_BYTES)
                        .build();
    }

    @Override
    public CompletableFuture<HostListResponse> read(HostListQuery query) {
        return mClient.get("/hosts?" + encode(query))
                .aggregate()
                .handle(
                        (response, failure) -> {
                            if (failure != null) {
                                Throwable cause =
                                        failure instanceof CompletionException
                                                ? failure.getCause()
                                                : failure;
                                throw new HostDirectoryException("host list request failed", cause);
                            }
                            return decode(response);
                        });
    }

    @Override
    public void close() {
        mClientFactory.close();
    }

    private static String encode(HostListQuery query) {
        QueryParamsBuilder parameters = QueryParams.builder();
        if (!query.isComplete()) {
            parameters.add("instance", query.instance());
            parameters.add("since", Long.toString(query.sinceRevision()));
        }
        if (query.usageHosts().size() > MAX_HOSTS_IN_QUERY) {
            parameters.add("usage", ALL_HOSTS);
        } else {
            query.usageHosts().forEach(host -> parameters.add("usage", host));
        }
        return parameters.toQueryString();
    }

    private static HostListResponse decode(AggregatedHttpResponse response) {
        if (!response.status().equals(HttpStatus.OK)) {
            throw new HostDirectoryException("host list responded with " + response.status(), null);
        }
        try {
            return decode(JSON.readTree(response.content().array()));
        } catch (IOException | IllegalArgumentException e) {
            throw new HostDirectoryException("host list is invalid: " + e.getMessage(), e);
        }
    }

    private static HostListResponse decode(JsonNode body) {
        JsonNode hosts = body.path("hosts");
        boolean incremental = body.has("since");
        if (!hosts.isArray() || !body.path("counts").isObject()) {
            throw new IllegalArgumentException(
                    "array \"hosts\" and object \"counts\" are required");
        }
        Map<String, HostPresence> changed = new TreeMap<>();
        for (JsonNode host : hosts) {
            HostPresence presence = presence(host.path("state").asText());
            if (changed.put(text(host, "name"), presence) != null) {
                throw new IllegalArgumentException("host is listed twice: " + host);
            }
        }
        Map<HostPresence, Integer> counts = new EnumMap<>(HostPresence.class);
        for (Map.Entry<String, JsonNode> count : body.path("counts").properties()) {
            counts.put(presence(count.getKey()), count(count.getValue(), body));
        }
        Set<String> removed = new TreeSet<>();
        body.path("removed").forEach(name -> removed.add(name.asText()));
        List<HostUsage> usage = new ArrayList<>();
        body.path("usage").forEach(report -> usage.add(usage(report)));
        return new HostListResponse(
                text(body, "instance"),
                incremental ? OptionalLong.of(number(body, "since")) : OptionalLong.empty(),
                number(body, "revision"),
                counts,
                changed,
                removed,
                usage);
    }

    private static HostUsage usage(JsonNode report) {
        if (!report.path("running").isObject()) {
            throw new IllegalArgumentException(
                    "object \"running\" is missing in usage report " + report);
        }
        Map<String, Integer> running = new TreeMap<>();
        for (Map.Entry<String, JsonNode> owner : report.path("running").properties()) {
            running.put(owner.getKey(), count(owner.getValue(), report));
        }
        return new HostUsage(text(report, "name"), number(report, "reportedAtMillis"), running);
    }

    private static HostPresence presence(String state) {
        return HostPresence.valueOf(state.toUpperCase(Locale.ROOT));
    }

    private static String text(JsonNode node, String field) {
        if (!node.path(field).isTextual()) {
            throw new IllegalArgumentException("string \"" + field + "\" is missing in " + node);
        }
        return node.path(field).asText();
    }

    private static long number(JsonNode node, String field) {
        if (!node.path(field).isIntegralNumber()) {
            throw new IllegalArgumentException("integer \"" + field + "\" is missing in " + node);
        }
        return node.path(field).asLong();
    }

    private static int count(JsonNode value, JsonNode context) {
        if (!value.canConvertToInt() || value.asInt() < 0) {
            throw new IllegalArgumentException(
                    "count must be a non-negative integer, not " + value + " in " + context);
        }
        return value.asInt();
    }
}

package org.marigoldturn.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Reads the host list as JSON from {@code GET /hosts}.
 *
 * <p>Form: {@code {"hosts": [{"name": "h1", "state": "live", "reportedAtMillis": 1, "running":
 * {"entry-1-0a": 2}}]}}. A list with any invalid entry is rejected as a whole, since a missing host
 * must not look like one without running requests. Thread safe.
 */
public final class HttpHostDirectory implements HostDirectory {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long PING_INTERVAL_MILLIS = 5_000;
    private static final long MAX_RESPONSE_BYTES = 8L << 20;

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
    public CompletableFuture<List<HostReport>> list() {
        return mClient.get("/hosts")
                .aggregate()
                .handle(
                        (response, failure) -> {
                            if (failure != null) {
                                Throwable cause =
                                        failure instanceof CompletionException
                                                ? failure.getCause()
                                                : failure;
                                throw new HostDirectoryException("host list did not answer", cause);
                            }
                            return decode(response);
                        });
    }

    @Override
    public void close() {
        mClientFactory.close();
    }

    private static List<HostReport> decode(AggregatedHttpResponse response) {
        if (!response.status().equals(HttpStatus.OK)) {
            throw new HostDirectoryException("host list answered " + response.status(), null);
        }
        try {
            JsonNode hosts = JSON.readTree(response.content().array()).path("hosts");
            if (!hosts.isArray()) {
                throw new IllegalArgumentException("array \"hosts\" is missing");
            }
            List<HostReport> reports = new ArrayList<>();
            hosts.forEach(host -> reports.add(decode(host)));
            return List.copyOf(reports);
        } catch (IOException | IllegalArgumentException e) {
            throw new HostDirectoryException("host list is invalid: " + e.getMessage(), e);
        }
    }

    private static HostReport decode(JsonNode host) {
        if (!host.path("name").isTextual() || !host.path("reportedAtMillis").isIntegralNumber()) {
            throw new IllegalArgumentException("host without name or reportedAtMillis: " + host);
        }
        Map<String, Integer> running = new TreeMap<>();
        for (Map.Entry<String, JsonNode> owner : host.path("running").properties()) {
            if (!owner.getValue().canConvertToInt() || owner.getValue().asInt() < 0) {
                throw new IllegalArgumentException("invalid running count in " + host);
            }
            running.put(owner.getKey(), owner.getValue().asInt());
        }
        return new HostReport(
                host.path("name").asText(),
                HostPresence.valueOf(host.path("state").asText().toUpperCase(Locale.ROOT)),
                host.path("reportedAtMillis").asLong(),
                running);
    }
}

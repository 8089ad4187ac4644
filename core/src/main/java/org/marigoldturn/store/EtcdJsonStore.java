package org.marigoldturn.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.RequestHeaders;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Key-value store reached through etcd's v3 HTTP/JSON mapping.
 *
 * <p>Thread safe. A request that certainly did not leave this process fails with {@link
 * StoreUnavailableException}; every other failure is a {@link StoreOutcomeUnknownException}. After
 * a call without an answer, later calls use a new connection: a device on the way may have dropped
 * the state of the old one, which HTTP/2 PING notices only after its interval.
 */
public final class EtcdJsonStore implements KeyValueStore {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long PING_INTERVAL_MILLIS = 5_000;
    private static final long IDLE_TIMEOUT_MILLIS = 30_000;
    private static final long MAX_RESPONSE_BYTES = 32L << 20;

    /** Part of etcd's message for an unknown lease, which it answers with HTTP 404. */
    private static final String LEASE_NOT_FOUND = "lease not found";

    /** One pool of connections with its clients. */
    private record Connection(ClientFactory factory, WebClient calls, WebClient watches) {}

    private final URI mEndpoint;
    private final long mTimeoutMillis;
    private final AtomicReference<Connection> mConnection;
    private volatile boolean mClosed;

    /**
     * Creates an adapter.
     *
     * @param endpoint base URI of the service, such as {@code http://10.0.0.1:2379}
     * @param timeoutMillis time limit of each call other than a watch
     */
    public EtcdJsonStore(URI endpoint, long timeoutMillis) {
        if (timeoutMillis <= 0) {
            throw new IllegalArgumentException("store timeout must be positive: " + timeoutMillis);
        }
        mEndpoint = endpoint;
        mTimeoutMillis = timeoutMillis;
        mConnection = new AtomicReference<>(connect());
    }

    private Connection connect() {
        ClientFactory factory =
                ClientFactory.builder()
                        .connectTimeoutMillis(mTimeoutMillis)
                        .pingIntervalMillis(PING_INTERVAL_MILLIS)
                        .idleTimeoutMillis(IDLE_TIMEOUT_MILLIS)
                        .build();
        WebClient calls =
                WebClient.builder(mEndpoint)
                        .factory(factory)
                        .responseTimeout(Duration.ofMillis(mTimeoutMillis))
                        .maxResponseLength(MAX_RESPONSE_BYTES)
                        .build();
        WebClient watches =
                WebClient.builder(mEndpoint)
                        .factory(factory)
                        .responseTimeoutMillis(0)
                        .maxResponseLength(0)
                        .build();
        return new Connection(factory, calls, watches);
    }

    @Override
    public CompletableFuture<TransactionResult> commit(Transaction transaction) {
        return call("/v3/kv/txn", EtcdJson.encode(transaction)).thenApply(EtcdJson::decodeResult);
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMillis) {
        ObjectNode body = JSON.createObjectNode();
        body.put("TTL", Long.toString((ttlMillis + 999) / 1000));
        return call("/v3/lease/grant", body).thenApply(reply -> reply.path("ID").asLong());
    }

    @Override
    public CompletableFuture<Void> keepLeaseAlive(long leaseId) {
        return call("/v3/lease/keepalive", leaseBody(leaseId))
                .thenAccept(
                        reply -> {
                            if (reply.path("result").path("TTL").asLong() <= 0) {
                                throw new LeaseExpiredException("lease " + leaseId + " has ended");
                            }
                        });
    }

    @Override
    public CompletableFuture<Void> revokeLease(long leaseId) {
        return call("/v3/lease/revoke", leaseBody(leaseId)).thenAccept(reply -> {});
    }

    @Override
    public Watch watch(String key, long afterRevision, WatchListener listener) {
        ObjectNode create = JSON.createObjectNode();
        create.put("key", EtcdJson.base64(key));
        create.put("start_revision", Long.toString(afterRevision + 1));
        ObjectNode body = JSON.createObjectNode();
        body.set("create_request", create);
        HttpResponse response = mConnection.get().watches().execute(post("/v3/watch", body));
        EtcdWatch watch = new EtcdWatch(key, listener);
        response.subscribe(watch);
        return watch;
    }

    @Override
    public void close() {
        mClosed = true;
        mConnection.get().factory().close();
    }

    private static ObjectNode leaseBody(long leaseId) {
        ObjectNode body = JSON.createObjectNode();
        body.put("ID", Long.toString(leaseId));
        return body;
    }

    private static HttpRequest post(String path, ObjectNode body) {
        RequestHeaders headers =
                RequestHeaders.builder(HttpMethod.POST, path).contentType(MediaType.JSON).build();
        try {
            return HttpRequest.of(
                    headers,
                    com.linecorp.armeria.common.HttpData.wrap(JSON.writeValueAsBytes(body)));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode request to " + path, e);
        }
    }

    private CompletableFuture<JsonNode> call(String path, ObjectNode body) {
        Connection connection = mConnection.get();
        return connection
                .calls()
                .execute(post(path, body))
                .aggregate()
                .handle(
                        (response, failure) -> {
                            if (failure != null) {
                                throw convert(path, connection, failure);
                            }
                            if (response.status().code() != 200) {
                                throw rejected(path, response);
                            }
                            return parse(path, response.content().array());
                        });
    }

    private static StoreException rejected(String path, AggregatedHttpResponse response) {
        String content = response.contentUtf8();
        if (response.status().equals(HttpStatus.NOT_FOUND) && content.contains(LEASE_NOT_FOUND)) {
            return new LeaseExpiredException("lease of a call to " + path + " has ended");
        }
        return new StoreOutcomeUnknownException(
                "store answered " + response.status() + " to " + path + ": " + content, null);
    }

    /** Replaces a connection; the old one is closed when its other calls have timed out. */
    private void replace(Connection silent) {
        if (mClosed) {
            return;
        }
        Connection fresh = connect();
        if (!mConnection.compareAndSet(silent, fresh)) {
            fresh.factory().close();
            return;
        }
        if (mClosed) {
            fresh.factory().close();
        }
        CompletableFuture.delayedExecutor(mTimeoutMillis, TimeUnit.MILLISECONDS)
                .execute(silent.factory()::close);
    }

    private static JsonNode parse(String path, byte[] content) {
        try {
            return JSON.readTree(content);
        } catch (java.io.IOException e) {
            throw new StoreOutcomeUnknownException("store sent invalid JSON to " + path, e);
        }
    }

    private StoreException convert(String path, Connection connection, Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        if (cause instanceof UnprocessedRequestException) {
            return new StoreUnavailableException("store is unreachable for " + path, cause);
        }
        if (cause instanceof ResponseTimeoutException) {
            replace(connection);
        }
        return new StoreOutcomeUnknownException(
                "store gave no answer to " + path + " (time limit " + mTimeoutMillis + " ms)",
                cause);
    }
}

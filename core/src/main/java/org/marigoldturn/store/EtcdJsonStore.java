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
 * StoreUnavailableException}; a lease that is unknown or has expired with {@link
 * LeaseExpiredException}, and every other failure is a {@link StoreOutcomeUnknownException}. After
 * a call without a response, later calls use a new connection: a network device on the path may
 * have dropped the state of the old one, which HTTP/2 PING detects only after its interval.
 */
public final class EtcdJsonStore implements KeyValueStore {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long PING_INTERVAL_MILLIS = 5_000;
    private static final long IDLE_TIMEOUT_MILLIS = 30_000;
    private static final long MAX_RESPONSE_BYTES = 32L << 20;

    /** Part of the message in etcd's HTTP 404 response for an unknown lease. */
    private static final String LEASE_NOT_FOUND = "lease not found";

    /** A connection pool and the clients that use it. */
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
        return call("/v3/lease/grant", body).thenApply(response -> response.path("ID").asLong());
    }

    @Override
    public CompletableFuture<Void> keepLeaseAlive(long leaseId) {
        return call("/v3/lease/keepalive", leaseBody(leaseId))
                .thenAccept(
                        response -> {
                            if (response.path("result").path("TTL").asLong() <= 0) {
                                throw new LeaseExpiredException(
                                        "lease " + leaseId + " has expired");
                            }
                        });
    }

    @Override
    public CompletableFuture<Void> revokeLease(long leaseId) {
        return call("/v3/lease/revoke", leaseBody(leaseId)).thenAccept(response -> {});
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
                                throw toStoreException(path, connection, failure);
                            }
                            if (response.status().code() != 200) {
                                throw toRejection(path, response);
                            }
                            return parse(path, response.content().array());
                        });
    }

    private static StoreException toRejection(String path, AggregatedHttpResponse response) {
        String content = response.contentUtf8();
        if (response.status().equals(HttpStatus.NOT_FOUND) && content.contains(LEASE_NOT_FOUND)) {
            return new LeaseExpiredException("store does not know the lease of a call to " + path);
        }
        return new StoreOutcomeUnknownException(
                "store responded with " + response.status() + " to " + path + ": " + content, null);
    }

    /** Opens a new connection; closes the old one once its other calls have timed out. */
    private void replace(Connection unresponsive) {
        if (mClosed) {
            return;
        }
        Connection replacement = connect();
        if (!mConnection.compareAndSet(unresponsive, replacement)) {
            replacement.factory().close();
            return;
        }
        if (mClosed) {
            replacement.factory().close();
        }
        CompletableFuture.delayedExecutor(mTimeoutMillis, TimeUnit.MILLISECONDS)
                .execute(unresponsive.factory()::close);
    }

    private static JsonNode parse(String path, byte[] content) {
        try {
            return JSON.readTree(content);
        } catch (java.io.IOException e) {
            throw new StoreOutcomeUnknownException(
                    "store responded to " + path + " with invalid JSON", e);
        }
    }

    private StoreException toStoreException(String path, Connection connection, Throwable failure) {
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
                "store sent no response to " + path + " (time limit " + mTimeoutMillis + " ms)",
                cause);
    }
}

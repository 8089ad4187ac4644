package org.marigoldturn.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.QueryParams;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.stream.AbortedStreamException;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * In-memory stand-in for the platform's key-value service, serving a subset of etcd's v3 HTTP/JSON
 * mapping: range, txn, lease and watch. It also serves the platform's host list at {@code /hosts}.
 * The users' platform in {@code standins.platform} has another store.
 *
 * <p>Two ports serve these and {@code /standin/faults}, {@code /standin/calls} and {@code
 * /standin/hosts}; connection faults do not apply to the second one, the admin port. Thread safe;
 * all state changes happen under one lock.
 */
public final class StoreServer implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Default limit of etcd for the operations of one transaction. */
    private static final int MAX_OPERATIONS = 128;

    /** Largest value that the platform's service holds. */
    private static final int MAX_VALUE_BYTES = 1 << 20;

    /** One open watch. */
    private record Watcher(String key, HttpResponseWriter writer) {}

    private final Object mLock = new Object();
    private final StoreState mState = new StoreState();
    private final List<Watcher> mWatchers = new ArrayList<>();
    private final Map<String, LongAdder> mCalls = new ConcurrentSkipListMap<>();
    private final ConnectionFaults mConnections = new ConnectionFaults();
    private final StoreFaults mFaults = new StoreFaults(mConnections);
    private final HostList mHosts = new HostList();
    private final Server mServer;
    private StoreState mStaleState = mState;
    private final int mRequestedPort;
    private int mPort;
    private int mAdminPort;

    /** Creates a server on a loopback port; 0 selects a free one. */
    public StoreServer(int port) {
        mRequestedPort = port;
        ServerBuilder builder =
                Server.builder()
                        .http(loopback(port))
                        .http(loopback(0))
                        .requestTimeoutMillis(0)
                        .gracefulShutdownTimeoutMillis(0, 0)
                        .idleTimeoutMillis(0)
                        .maxRequestLength(8L << 20)
                        .childChannelPipelineCustomizer(mConnections::install);
        builder.service("/v3/kv/txn", (ctx, req) -> json(req, this::transactionCall));
        builder.service("/v3/lease/grant", (ctx, req) -> json(req, body -> call("grant", body)));
        builder.service(
                "/v3/lease/keepalive", (ctx, req) -> json(req, body -> call("keepalive", body)));
        builder.service("/v3/lease/revoke", (ctx, req) -> json(req, body -> call("revoke", body)));
        builder.service("/v3/watch", (ctx, req) -> watch(req));
        builder.service("/hosts", (ctx, req) -> json(req, body -> hostsCall(ctx.query())));
        builder.service("/standin/faults", (ctx, req) -> admin(req, this::setFaults));
        builder.service("/standin/calls", (ctx, req) -> admin(req, body -> callCounts()));
        builder.service(
                "/standin/hosts",
                (ctx, req) -> admin(req, body -> mHosts.apply(body, System.currentTimeMillis())));
        mServer = builder.build();
    }

    static java.net.InetSocketAddress loopback(int port) {
        return new java.net.InetSocketAddress("127.0.0.1", port);
    }

    /** Starts the server and returns the port to which connection faults apply. */
    public int start() {
        mServer.start().join();
        List<Integer> ports =
                mServer.activePorts().keySet().stream().map(a -> a.getPort()).toList();
        mPort = ports.contains(mRequestedPort) ? mRequestedPort : ports.get(0);
        mAdminPort = ports.get(0) == mPort ? ports.get(1) : ports.get(0);
        mConnections.setAdminPort(mAdminPort);
        return mPort;
    }

    /** Returns the port that is exempt from connection faults. */
    public int adminPort() {
        return mAdminPort;
    }

    /** Returns the number of calls served; opening a watch counts as one call. */
    public long calls() {
        return mCalls.values().stream().mapToLong(LongAdder::sum).sum();
    }

    /** Returns the bytes received from clients, without TLS and TCP headers. */
    public long bytesReceived() {
        return mConnections.bytesReceived();
    }

    /** Returns the bytes sent to clients, without TLS and TCP headers. */
    public long bytesSent() {
        return mConnections.bytesSent();
    }

    /** Sets faults; see {@link StoreFaults} for the fields. */
    public void setFaults(String json) throws IOException {
        setFaults(JSON.readTree(json));
    }

    /**
     * Adds reports to the host list; the text has the form of the body of {@code /standin/hosts}.
     */
    public void putHosts(String json) throws IOException {
        mHosts.apply(JSON.readTree(json), System.currentTimeMillis());
    }

    @Override
    public void close() {
        mServer.stop().join();
    }

    /** Kind of a call, whether it writes, and its execution under the lock. */
    private record Call(String kind, boolean writes, Supplier<ObjectNode> execution) {}

    /** Rejection of a call, with the HTTP status of the response. */
    private static final class Rejection extends RuntimeException {
        private static final long serialVersionUID = 1L;
        private final HttpStatus mStatus;

        Rejection(HttpStatus status, String message) {
            super(message);
            mStatus = status;
        }
    }

    private Call call(String kind, JsonNode body) {
        return switch (kind) {
            case "grant" -> new Call(kind, true, () -> grant(body));
            case "keepalive" -> new Call(kind, true, () -> keepAlive(body));
            case "revoke" -> new Call(kind, true, () -> revoke(body));
            default -> throw new IllegalArgumentException("unknown call: " + kind);
        };
    }

    private Call hostsCall(String query) {
        QueryParams parameters =
                query == null ? QueryParams.of() : QueryParams.fromQueryString(query);
        return new Call("hosts", false, () -> mHosts.list(parameters, System.currentTimeMillis()));
    }

    private Call transactionCall(JsonNode body) {
        boolean writes =
                StoreJson.writes(body.path("success")) || StoreJson.writes(body.path("failure"));
        return new Call(writes ? "write" : "read", writes, () -> transaction(body));
    }

    private HttpResponse json(HttpRequest request, Function<JsonNode, Call> decoder) {
        CompletableFuture<HttpResponse> response =
                request.aggregate()
                        .thenCompose(
                                aggregated -> {
                                    Call call = decoder.apply(parse(aggregated.content().array()));
                                    count(call.kind());
                                    return delayed().thenApply(ignored -> respond(call));
                                })
                        .exceptionally(StoreServer::error);
        return HttpResponse.of(response);
    }

    private CompletableFuture<Void> delayed() {
        long delayMillis = mFaults.delayMillis();
        return delayMillis == 0
                ? CompletableFuture.completedFuture(null)
                : CompletableFuture.runAsync(
                        () -> {},
                        CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS));
    }

    private HttpResponse respond(Call call) {
        ObjectNode reply;
        synchronized (mLock) {
            mState.expireLeases(System.currentTimeMillis());
            reply = call.execution().get();
        }
        return call.writes() && mFaults.consumeResponseDrop()
                ? HttpResponse.ofFailure(AbortedStreamException.get())
                : ok(reply);
    }

    private HttpResponse admin(HttpRequest request, Function<JsonNode, ObjectNode> handler) {
        return HttpResponse.of(
                request.aggregate()
                        .thenApply(
                                aggregated ->
                                        ok(handler.apply(parse(aggregated.content().array()))))
                        .exceptionally(StoreServer::error));
    }

    private static HttpResponse error(Throwable failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        HttpStatus status =
                cause instanceof Rejection rejection ? rejection.mStatus : HttpStatus.BAD_REQUEST;
        String message = String.valueOf(cause.getMessage());
        return HttpResponse.of(
                status, MediaType.JSON, JSON.createObjectNode().put("error", message).toString());
    }

    private static HttpResponse ok(ObjectNode reply) {
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, reply.toString());
    }

    private static JsonNode parse(byte[] content) {
        try {
            return content.length == 0 ? JSON.createObjectNode() : JSON.readTree(content);
        } catch (IOException e) {
            throw new IllegalArgumentException("invalid JSON: " + e.getMessage(), e);
        }
    }

    private ObjectNode setFaults(JsonNode body) {
        synchronized (mLock) {
            if (body.has("staleReadsMillis")) {
                mStaleState = mState.copy();
            }
            return mFaults.apply(body, System.currentTimeMillis());
        }
    }

    private ObjectNode callCounts() {
        ObjectNode counts = JSON.createObjectNode();
        mCalls.forEach((kind, count) -> counts.put(kind, count.sum()));
        return counts;
    }

    private void count(String kind) {
        mCalls.computeIfAbsent(kind, k -> new LongAdder()).increment();
    }

    /** Rejects what etcd rejects under its default limits, before any operation takes effect. */
    private void checkBranch(JsonNode branch) {
        if (branch.size() > MAX_OPERATIONS) {
            throw new Rejection(
                    HttpStatus.BAD_REQUEST, "etcdserver: too many operations in txn request");
        }
        for (JsonNode operation : branch) {
            JsonNode put = operation.path("request_put");
            long leaseId = put.path("lease").asLong();
            if (leaseId != 0 && !mState.hasLease(leaseId)) {
                throw new Rejection(HttpStatus.NOT_FOUND, "etcdserver: requested lease not found");
            }
            if (put.path("value").asText().length() / 4 * 3 > MAX_VALUE_BYTES) {
                throw new Rejection(HttpStatus.BAD_REQUEST, "etcdserver: request is too large");
            }
        }
    }

    private ObjectNode transaction(JsonNode body) {
        boolean writes =
                StoreJson.writes(body.path("success")) || StoreJson.writes(body.path("failure"));
        StoreState state =
                !writes && mFaults.readsAreStale(System.currentTimeMillis()) ? mStaleState : mState;
        boolean succeeded = true;
        for (JsonNode compare : body.path("compare")) {
            StoreState.Entry entry = state.get(StoreJson.key(compare.path("key")));
            long actual = entry == null ? 0 : entry.modRevision();
            succeeded &= actual == compare.path("mod_revision").asLong();
        }
        JsonNode branch = body.path(succeeded ? "success" : "failure");
        checkBranch(branch);
        if (StoreJson.writes(branch)) {
            mState.nextRevision();
        }
        ObjectNode reply = JSON.createObjectNode();
        reply.put("succeeded", succeeded);
        ArrayNode responses = reply.putArray("responses");
        for (JsonNode operation : branch) {
            execute(state, operation, responses.addObject());
        }
        reply.putObject("header").put("revision", Long.toString(state.revision()));
        return reply;
    }

    private void execute(StoreState state, JsonNode operation, ObjectNode response) {
        if (operation.has("request_range")) {
            JsonNode range = operation.path("request_range");
            String end = range.has("range_end") ? StoreJson.key(range.path("range_end")) : null;
            ArrayNode kvs = response.putObject("response_range").putArray("kvs");
            Map<String, StoreState.Entry> found =
                    state.range(StoreJson.key(range.path("key")), end);
            found.forEach((key, entry) -> StoreJson.write(kvs.addObject(), key, entry));
        } else if (operation.has("request_put")) {
            JsonNode put = operation.path("request_put");
            String key = StoreJson.key(put.path("key"));
            byte[] value = Base64.getDecoder().decode(put.path("value").asText());
            StoreState.Entry entry = mState.put(key, value, put.path("lease").asLong());
            response.putObject("response_put");
            notifyWatchers(key, entry);
        } else {
            mState.delete(StoreJson.key(operation.path("request_delete_range").path("key")));
            response.putObject("response_delete_range");
        }
    }

    private ObjectNode grant(JsonNode body) {
        long ttlSeconds = body.path("TTL").asLong();
        long id = mState.grantLease(ttlSeconds * 1000, System.currentTimeMillis());
        ObjectNode reply = JSON.createObjectNode();
        return reply.put("ID", Long.toString(id)).put("TTL", Long.toString(ttlSeconds));
    }

    private ObjectNode keepAlive(JsonNode body) {
        long id = body.path("ID").asLong();
        long ttlMillis = mState.keepAlive(id, System.currentTimeMillis());
        ObjectNode reply = JSON.createObjectNode();
        reply.putObject("result")
                .put("ID", Long.toString(id))
                .put("TTL", Long.toString(ttlMillis / 1000));
        return reply;
    }

    private ObjectNode revoke(JsonNode body) {
        mState.revoke(body.path("ID").asLong());
        return JSON.createObjectNode();
    }

    private HttpResponse watch(HttpRequest request) {
        count("watch");
        HttpResponseWriter writer = HttpResponse.streaming();
        writer.write(ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON).build());
        return HttpResponse.of(
                request.aggregate()
                        .thenApply(
                                aggregated -> {
                                    openWatch(parse(aggregated.content().array()), writer);
                                    return (HttpResponse) writer;
                                })
                        .exceptionally(StoreServer::error));
    }

    private void openWatch(JsonNode body, HttpResponseWriter writer) {
        JsonNode create = body.path("create_request");
        String key = StoreJson.key(create.path("key"));
        synchronized (mLock) {
            Watcher watcher = new Watcher(key, writer);
            mWatchers.removeIf(w -> !w.writer().isOpen());
            mWatchers.add(watcher);
            StoreState.Entry entry = mState.get(key);
            if (entry != null && entry.modRevision() >= create.path("start_revision").asLong()) {
                notifyWatcher(watcher, entry);
            }
        }
    }

    private void notifyWatchers(String key, StoreState.Entry entry) {
        for (Watcher watcher : mWatchers) {
            if (watcher.key().equals(key)) {
                notifyWatcher(watcher, entry);
            }
        }
    }

    private void notifyWatcher(Watcher watcher, StoreState.Entry entry) {
        ObjectNode message = JSON.createObjectNode();
        ArrayNode events = message.putObject("result").putArray("events");
        StoreJson.write(events.addObject().putObject("kv"), watcher.key(), entry);
        if (!watcher.writer().tryWrite(HttpData.ofUtf8(message + "\n"))) {
            Logger.info(
                    "store: the client closed its watch of {}; dropping the event.", watcher.key());
        }
    }
}

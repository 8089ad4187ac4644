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
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * In-memory stand-in for the platform's key-value service, serving a subset of etcd's v3 HTTP/JSON
 * mapping: range, txn, lease and watch.
 *
 * <p>Thread safe; all state changes happen under one lock.
 */
public final class StoreServer implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** One open watch. */
    private record Watcher(String key, HttpResponseWriter writer) {}

    private final Object mLock = new Object();
    private final StoreState mState = new StoreState();
    private final List<Watcher> mWatchers = new ArrayList<>();
    private final AtomicLong mCalls = new AtomicLong();
    private final Server mServer;

    /** Creates a server on a loopback port; 0 takes a free one. */
    public StoreServer(int port) {
        ServerBuilder builder = Server.builder().http(loopback(port)).requestTimeoutMillis(0);
        builder.maxRequestLength(8L << 20);
        builder.service("/v3/kv/txn", (ctx, req) -> json(req, this::transaction));
        builder.service("/v3/lease/grant", (ctx, req) -> json(req, this::grant));
        builder.service("/v3/lease/keepalive", (ctx, req) -> json(req, this::keepAlive));
        builder.service("/v3/lease/revoke", (ctx, req) -> json(req, this::revoke));
        builder.service("/v3/watch", (ctx, req) -> watch(req));
        mServer = builder.build();
    }

    static java.net.InetSocketAddress loopback(int port) {
        return new java.net.InetSocketAddress("127.0.0.1", port);
    }

    /** Starts the server and returns its port. */
    public int start() {
        mServer.start().join();
        return mServer.activeLocalPort();
    }

    /** Returns the number of calls served, an opened watch counting as one. */
    public long calls() {
        return mCalls.get();
    }

    @Override
    public void close() {
        mServer.stop().join();
    }

    private interface Handler {
        ObjectNode handle(JsonNode body);
    }

    private HttpResponse json(HttpRequest request, Handler handler) {
        mCalls.incrementAndGet();
        CompletableFuture<HttpResponse> response =
                request.aggregate()
                        .thenApply(
                                aggregated -> {
                                    try {
                                        JsonNode body = JSON.readTree(aggregated.content().array());
                                        ObjectNode reply;
                                        synchronized (mLock) {
                                            mState.expireLeases(System.currentTimeMillis());
                                            reply = handler.handle(body);
                                        }
                                        return HttpResponse.of(
                                                HttpStatus.OK,
                                                MediaType.JSON,
                                                JSON.writeValueAsBytes(reply));
                                    } catch (IOException | IllegalArgumentException e) {
                                        return HttpResponse.of(
                                                HttpStatus.BAD_REQUEST,
                                                MediaType.PLAIN_TEXT_UTF_8,
                                                String.valueOf(e.getMessage()));
                                    }
                                });
        return HttpResponse.of(response);
    }

    private ObjectNode transaction(JsonNode body) {
        boolean succeeded = true;
        for (JsonNode compare : body.path("compare")) {
            StoreState.Entry entry = mState.get(key(compare.path("key")));
            long actual = entry == null ? 0 : entry.modRevision();
            succeeded &= actual == compare.path("mod_revision").asLong();
        }
        JsonNode branch = body.path(succeeded ? "success" : "failure");
        boolean writes = false;
        for (JsonNode operation : branch) {
            writes |= operation.has("request_put") || operation.has("request_delete_range");
        }
        if (writes) {
            mState.nextRevision();
        }
        ObjectNode reply = JSON.createObjectNode();
        reply.put("succeeded", succeeded);
        ArrayNode responses = reply.putArray("responses");
        for (JsonNode operation : branch) {
            execute(operation, responses.addObject());
        }
        reply.putObject("header").put("revision", Long.toString(mState.revision()));
        return reply;
    }

    private void execute(JsonNode operation, ObjectNode response) {
        if (operation.has("request_range")) {
            JsonNode range = operation.path("request_range");
            String end = range.has("range_end") ? key(range.path("range_end")) : null;
            ArrayNode kvs = response.putObject("response_range").putArray("kvs");
            Map<String, StoreState.Entry> found = mState.range(key(range.path("key")), end);
            found.forEach((key, entry) -> write(kvs.addObject(), key, entry));
        } else if (operation.has("request_put")) {
            JsonNode put = operation.path("request_put");
            String key = key(put.path("key"));
            byte[] value = Base64.getDecoder().decode(put.path("value").asText());
            StoreState.Entry entry = mState.put(key, value, put.path("lease").asLong());
            response.putObject("response_put");
            notifyWatchers(key, entry);
        } else {
            mState.delete(key(operation.path("request_delete_range").path("key")));
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
        mCalls.incrementAndGet();
        HttpResponseWriter writer = HttpResponse.streaming();
        writer.write(ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON).build());
        request.aggregate()
                .thenAccept(
                        aggregated -> {
                            try {
                                openWatch(JSON.readTree(aggregated.content().array()), writer);
                            } catch (IOException e) {
                                writer.close(e);
                            }
                        });
        return writer;
    }

    private void openWatch(JsonNode body, HttpResponseWriter writer) {
        JsonNode create = body.path("create_request");
        String key = key(create.path("key"));
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
        write(events.addObject().putObject("kv"), watcher.key(), entry);
        if (!watcher.writer().tryWrite(HttpData.ofUtf8(message + "\n"))) {
            Logger.info("store: watch of {} was closed by its client.", watcher.key());
        }
    }

    private static void write(ObjectNode node, String key, StoreState.Entry entry) {
        node.put("key", Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.UTF_8)));
        node.put("value", Base64.getEncoder().encodeToString(entry.value()));
        node.put("create_revision", Long.toString(entry.createRevision()));
        node.put("mod_revision", Long.toString(entry.modRevision()));
    }

    private static String key(JsonNode node) {
        return new String(Base64.getDecoder().decode(node.asText()), StandardCharsets.UTF_8);
    }
}

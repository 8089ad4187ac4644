package org.marigoldturn.standins;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.TlsKeyPair;
import com.linecorp.armeria.common.logging.RequestLogProperty;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Stand-in for a target host with a fixed number of slots, which records each start and end of a
 * request.
 *
 * <p>A request runs for the time in its header {@code x-run-millis}. The response has the body of
 * the request, or as many zero bytes as the header {@code x-response-bytes} states. {@code GET
 * /records} returns all records, {@code GET /usage} the running request ids by owner, and {@code
 * POST /admin/fault?mode=slow&millis=100} sets a fault. Thread safe.
 */
public final class TargetServer implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_CONNECTIONS = 64;

    private record ActiveFault(TargetFault kind, long millis) {}

    private final String mName;
    private final TargetRecords mRecords;
    private final Server mServer;
    private final ConcurrentLinkedQueue<Integer> mSilentRunIndices = new ConcurrentLinkedQueue<>();
    private volatile ActiveFault mFault = new ActiveFault(TargetFault.NONE, 0);

    /** Creates a host on a loopback port; 0 selects a free one. */
    public TargetServer(String name, int slots, int port) {
        this(name, slots, port, Optional.empty());
    }

    /** Creates a host that serves TLS only if a key pair is given. */
    public TargetServer(String name, int slots, int port, Optional<TlsKeyPair> tls) {
        mName = name;
        mRecords = new TargetRecords(slots);
        mServer =
                serverBuilder(StoreServer.loopback(port), tls)
                        .maxNumConnections(MAX_CONNECTIONS)
                        .requestTimeoutMillis(0)
                        .gracefulShutdownTimeoutMillis(0, 0)
                        .service("/records", (ctx, req) -> json(mRecords.runs()))
                        .service("/usage", (ctx, req) -> json(usage()))
                        .service("/admin/fault", (ctx, req) -> setFault(ctx))
                        .serviceUnder("/", this::run)
                        .build();
    }

    /** Starts the server and returns its port. */
    public int start() {
        mServer.start().join();
        return mServer.activeLocalPort();
    }

    /** Returns the port of a started server. */
    public int port() {
        return mServer.activeLocalPort();
    }

    /** Returns the records of the requests that the host ran. */
    public TargetRecords records() {
        return mRecords;
    }

    /** Sets a fault; requests that run under {@link TargetFault#SILENT} end without a response. */
    public void setFault(TargetFault kind, long millis) {
        mFault = new ActiveFault(kind, millis);
        Integer index = mSilentRunIndices.poll();
        while (index != null) {
            mRecords.end(index, System.currentTimeMillis());
            index = mSilentRunIndices.poll();
        }
    }

    /** Returns the ids of the running requests by owner. */
    public Map<String, List<String>> usage() {
        return mRecords.running().stream()
                .collect(
                        Collectors.groupingBy(
                                TargetRecords.Run::owner,
                                TreeMap::new,
                                Collectors.mapping(
                                        TargetRecords.Run::requestId, Collectors.toList())));
    }

    @Override
    public void close() {
        mServer.stop().join();
    }

    private static ServerBuilder serverBuilder(
            InetSocketAddress address, Optional<TlsKeyPair> tls) {
        return tls.map(pair -> Server.builder().https(address).tls(pair))
                .orElseGet(() -> Server.builder().http(address));
    }

    private HttpResponse setFault(ServiceRequestContext ctx) {
        String mode = ctx.queryParam("mode");
        String millis = ctx.queryParam("millis");
        if (mode == null) {
            return HttpResponse.of(HttpStatus.BAD_REQUEST);
        }
        setFault(
                TargetFault.valueOf(mode.toUpperCase(Locale.ROOT).replace('-', '_')),
                millis == null ? 0 : Long.parseLong(millis));
        return HttpResponse.of(HttpStatus.OK);
    }

    private static HttpResponse json(Object value) throws IOException {
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, JSON.writeValueAsBytes(value));
    }

    private HttpResponse run(ServiceRequestContext ctx, HttpRequest request) {
        if (mFault.kind() == TargetFault.RESET_BEFORE) {
            closeConnection(ctx);
            return HttpResponse.streaming();
        }
        return HttpResponse.of(
                request.aggregate().thenCompose(body -> startRun(ctx, request, body.content())));
    }

    private CompletableFuture<HttpResponse> startRun(
            ServiceRequestContext ctx, HttpRequest request, HttpData body) {
        ActiveFault fault = mFault;
        int index = recordStart(request);
        if (index < 0) {
            return CompletableFuture.completedFuture(
                    HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE));
        }
        if (fault.kind() == TargetFault.SILENT) {
            mSilentRunIndices.add(index);
            return new CompletableFuture<>();
        }
        long extraMillis = fault.kind() == TargetFault.SLOW ? fault.millis() : 0;
        long runMillis = request.headers().getLong("x-run-millis", 0) + extraMillis;
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        Runnable end =
                () -> {
                    mRecords.end(index, System.currentTimeMillis());
                    if (fault.kind() != TargetFault.RESET_AFTER) {
                        int bytes = request.headers().getInt("x-response-bytes", -1);
                        response.complete(
                                response(
                                        fault.kind(),
                                        bytes < 0 ? body : HttpData.wrap(new byte[bytes])));
                    }
                };
        if (fault.kind() == TargetFault.RESET_AFTER) {
            closeConnection(ctx);
        }
        if (runMillis == 0 || fault.kind() == TargetFault.FAIL) {
            end.run();
        } else {
            var unused =
                    ctx.eventLoop()
                            .withoutContext()
                            .schedule(end, runMillis, TimeUnit.MILLISECONDS);
        }
        return response;
    }

    private HttpResponse response(TargetFault fault, HttpData body) {
        if (fault == TargetFault.FAIL) {
            return HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR);
        }
        ResponseHeaders headers =
                ResponseHeaders.builder(HttpStatus.OK)
                        .contentType(MediaType.PLAIN_TEXT_UTF_8)
                        .set("x-host", mName)
                        .setLong(HttpHeaderNames.CONTENT_LENGTH, body.length())
                        .build();
        if (fault != TargetFault.TRUNCATE && fault != TargetFault.SHORT) {
            return HttpResponse.of(headers, body);
        }
        HttpResponseWriter writer = HttpResponse.streaming();
        writer.write(headers);
        writer.write(HttpData.wrap(body.array(), 0, body.length() / 2));
        if (fault == TargetFault.SHORT) {
            writer.close();
        } else {
            var unused =
                    writer.whenConsumed()
                            .thenRun(() -> writer.close(new IOException("truncated on purpose")));
        }
        return writer;
    }

    private int recordStart(HttpRequest request) {
        return mRecords.begin(
                new TargetRecords.Run(
                        request.headers().get("marigoldturn-request-id", ""),
                        request.headers().get("marigoldturn-owner", ""),
                        request.headers().get("marigoldturn-team", ""),
                        Boolean.parseBoolean(request.headers().get("marigoldturn-idempotent")),
                        System.currentTimeMillis(),
                        0));
    }

    private static void closeConnection(ServiceRequestContext ctx) {
        var unused = ctx.log().ensureAvailable(RequestLogProperty.SESSION).channel().close();
    }
}

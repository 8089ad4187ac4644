package org.marigoldturn.standins;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for a target host with a fixed number of slots, which records each start and end of a
 * request. {@code GET /records} returns the records as JSON.
 *
 * <p>A request runs for the time in its header {@code x-run-millis}. Thread safe.
 */
public final class TargetServer implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_CONNECTIONS = 64;

    /** One request as the host saw it; {@code endedAtMillis} is 0 while it runs. */
    public record Record(
            String requestId, String owner, String team, long startedAtMillis, long endedAtMillis) {
        Record ended(long nowMillis) {
            return new Record(requestId, owner, team, startedAtMillis, nowMillis);
        }
    }

    private final String mName;
    private final int mSlots;
    private final List<Record> mRecords = new ArrayList<>();
    private final Server mServer;
    private int mRunning;

    /** Creates a host on a loopback port; 0 takes a free one. */
    public TargetServer(String name, int slots, int port) {
        mName = name;
        mSlots = slots;
        mServer =
                Server.builder()
                        .http(StoreServer.loopback(port))
                        .maxNumConnections(MAX_CONNECTIONS)
                        .requestTimeoutMillis(0)
                        .service("/records", (ctx, req) -> recordsAsJson())
                        .serviceUnder("/", this::run)
                        .build();
    }

    /** Starts the server and returns its port. */
    public int start() {
        mServer.start().join();
        return mServer.activeLocalPort();
    }

    @Override
    public void close() {
        mServer.stop().join();
    }

    /** Returns a copy of the records. */
    public List<Record> records() {
        synchronized (mRecords) {
            return List.copyOf(mRecords);
        }
    }

    private HttpResponse recordsAsJson() throws IOException {
        synchronized (mRecords) {
            return HttpResponse.of(HttpStatus.OK, MediaType.JSON, JSON.writeValueAsBytes(mRecords));
        }
    }

    private HttpResponse run(ServiceRequestContext ctx, HttpRequest request) {
        return HttpResponse.of(
                request.aggregate()
                        .thenCompose(
                                body -> {
                                    int index = begin(request);
                                    if (index < 0) {
                                        return CompletableFuture.completedFuture(
                                                HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE));
                                    }
                                    return finish(ctx, request, index, body.contentUtf8());
                                }));
    }

    private CompletableFuture<HttpResponse> finish(
            ServiceRequestContext ctx, HttpRequest request, int index, String body) {
        long runMillis = request.headers().getLong("x-run-millis", 0);
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        Runnable end =
                () -> {
                    end(index);
                    ResponseHeaders headers =
                            ResponseHeaders.builder(HttpStatus.OK)
                                    .contentType(MediaType.PLAIN_TEXT_UTF_8)
                                    .set("x-host", mName)
                                    .build();
                    response.complete(
                            HttpResponse.of(
                                    headers, com.linecorp.armeria.common.HttpData.ofUtf8(body)));
                };
        if (runMillis == 0) {
            end.run();
        } else {
            ctx.eventLoop()
                    .withoutContext()
                    .schedule(end, Duration.ofMillis(runMillis).toNanos(), TimeUnit.NANOSECONDS);
        }
        return response;
    }

    private int begin(HttpRequest request) {
        synchronized (mRecords) {
            if (mRunning >= mSlots) {
                return -1;
            }
            mRunning++;
            mRecords.add(
                    new Record(
                            request.headers().get("marigoldturn-request-id", ""),
                            request.headers().get("marigoldturn-owner", ""),
                            request.headers().get("marigoldturn-team", ""),
                            System.currentTimeMillis(),
                            0));
            return mRecords.size() - 1;
        }
    }

    private void end(int index) {
        synchronized (mRecords) {
            mRunning--;
            mRecords.set(index, mRecords.get(index).ended(System.currentTimeMillis()));
        }
    }
}

package org.marigoldturn.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Serves blocking JSON handlers over HTTP on a free port of the loopback address. */
final class StandInHttp implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();

    /** Unbounded, since calls that get no response stay in their handlers. */
    private static final ExecutorService HANDLERS =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "stand-in");
                        thread.setDaemon(true);
                        return thread;
                    });

    private final Server mServer;

    /** Handles requests; may block. */
    interface Handler {
        StandInStore.Response handle(
                ServiceRequestContext context, AggregatedHttpRequest request, JsonNode body)
                throws Exception;
    }

    StandInHttp(Handler handler) {
        mServer =
                Server.builder()
                        .http(new InetSocketAddress("127.0.0.1", 0))
                        .requestTimeoutMillis(0)
                        .serviceUnder("/", service(handler))
                        .build();
        mServer.start().join();
    }

    String address() {
        return "127.0.0.1:" + mServer.activeLocalPort();
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    private static HttpService service(Handler handler) {
        return (context, request) ->
                HttpResponse.of(
                        request.aggregate()
                                .thenCompose(
                                        aggregated ->
                                                CompletableFuture.supplyAsync(
                                                        () -> respond(handler, context, aggregated),
                                                        HANDLERS)));
    }

    private static HttpResponse respond(
            Handler handler, ServiceRequestContext context, AggregatedHttpRequest request) {
        try {
            StandInStore.Response response = handler.handle(context, request, body(request));
            return HttpResponse.of(
                    HttpStatus.valueOf(response.status()),
                    MediaType.JSON,
                    response.body().toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
        } catch (Exception e) {
            return HttpResponse.ofFailure(e);
        }
    }

    private static JsonNode body(AggregatedHttpRequest request) throws IOException {
        return request.content().isEmpty() ? object() : JSON.readTree(request.content().array());
    }

    /** Stops the server; the future completes once it has stopped, which takes seconds. */
    CompletableFuture<Void> stop() {
        return mServer.stop();
    }

    @Override
    public void close() {
        stop().join();
    }
}

package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** Serves JSON calls on a free port of 127.0.0.1. */
final class Http {
    private final HttpServer mServer;

    /** A response; one without a status leaves the call unanswered and ends the connection. */
    record Response(int status, Object body) {
        static Response none() {
            return new Response(0, null);
        }
    }

    /** A call. */
    record Call(
            String method,
            String path,
            Map<String, String> query,
            Map<String, Object> body,
            String expectedInstance,
            long token) {}

    /** Handles calls; may block. */
    interface Handler {
        Response handle(Call call) throws Exception;
    }

    Http(Handler handler) throws IOException {
        mServer = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
        mServer.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task);
                            thread.setDaemon(true);
                            return thread;
                        }));
        mServer.createContext("/", exchange -> serve(handler, exchange));
        mServer.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    private static void serve(Handler handler, HttpExchange exchange) throws IOException {
        Response response;
        try {
            String text =
                    new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            for (String pair : raw == null ? new String[0] : raw.split("&")) {
                int eq = pair.indexOf('=');
                query.put(
                        URLDecoder.decode(pair.substring(0, eq), StandardCharsets.UTF_8),
                        URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
            }
            String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
            String token = exchange.getRequestHeaders().getFirst("Fencing-Token");
            response =
                    handler.handle(
                            new Call(
                                    exchange.getRequestMethod(),
                                    exchange.getRequestURI().getPath(),
                                    query,
                                    Json.object(text),
                                    expected == null ? "" : expected,
                                    token == null ? 0 : Long.parseLong(token)));
        } catch (Exception e) {
            e.printStackTrace();
            response = new Response(500, Json.of());
        }
        if (response.status() == 0) {
            exchange.close();
            return;
        }
        byte[] bytes = Json.write(response.body()).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(response.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    void stop() {
        mServer.stop(0);
    }
}

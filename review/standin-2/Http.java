import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;

/** An HTTP server on a free port of a loopback address, with JSON bodies. */
final class Http {
    private static final ThreadFactory DAEMON_THREADS =
            task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            };

    private final HttpServer mServer;
    private volatile boolean mCut;

    /** A response; a null body sends none. */
    record Response(int status, Map<String, Object> body) {}

    /** A request. */
    record Request(
            String method,
            String path,
            Map<String, String> query,
            Map<String, Object> body,
            Map<String, String> headers) {
        long number(String name) {
            return Long.parseLong(query.getOrDefault(name, "0"));
        }
    }

    /** Handles requests; called by several threads. */
    interface Handler {
        Response handle(Request request) throws Exception;
    }

    Http(String ip, Handler handler) throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(ip, 0), 0);
        mServer.setExecutor(Executors.newCachedThreadPool(DAEMON_THREADS));
        mServer.createContext("/", exchange -> serve(exchange, handler));
        mServer.start();
    }

    String address() {
        return mServer.getAddress().getAddress().getHostAddress() + ":" + mServer.getAddress().getPort();
    }

    /** While cut, calls have no effect and no response; a response under way is lost too. */
    void setCut(boolean cut) {
        mCut = cut;
    }

    void close() {
        mServer.stop(0);
    }

    private void serve(HttpExchange exchange, Handler handler) throws IOException {
        try {
            Request request = read(exchange);
            if (mCut) {
                awaitEndOfCut();
                exchange.close();
                return;
            }
            Response response = handler.handle(request);
            if (mCut) {
                awaitEndOfCut();
                exchange.close();
                return;
            }
            byte[] body =
                    response.body() == null
                            ? new byte[0]
                            : Json.write(response.body()).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(response.status(), body.length == 0 ? -1 : body.length);
            if (body.length > 0) {
                exchange.getResponseBody().write(body);
            }
            exchange.close();
        } catch (IOException e) {
            exchange.close();
        } catch (Exception e) {
            e.printStackTrace();
            exchange.close();
        }
    }

    private void awaitEndOfCut() throws InterruptedException {
        while (mCut) {
            Thread.sleep(20);
        }
    }

    private static Request read(HttpExchange exchange) throws IOException {
        String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int equals = part.indexOf('=');
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        Map<String, String> headers = new HashMap<>();
        exchange.getRequestHeaders().forEach((name, values) -> headers.put(name.toLowerCase(), values.get(0)));
        return new Request(
                exchange.getRequestMethod(),
                exchange.getRequestURI().getPath(),
                query,
                text.isEmpty() ? Map.of() : Json.object(text),
                headers);
    }
}

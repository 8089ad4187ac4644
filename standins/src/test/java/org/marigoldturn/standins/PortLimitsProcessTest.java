package org.marigoldturn.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/** Guards against operator access without the token, and clients that exhaust a daemon. */
class PortLimitsProcessTest {
    private static final int CALLER_CONNECTIONS = 6;
    private static final int OPERATOR_CONNECTIONS = 4;
    private static final int BODY_BYTES = 1_000;
    private static final int OPERATOR_BODY_BYTES = 8 << 20;

    /** Every route of the operator port, and paths that do not exist. */
    private static final List<String> ROUTES =
            List.of(
                    "GET /v1/status",
                    "GET /v1/daemons",
                    "DELETE /v1/daemons/entry-0",
                    "GET /v1/explain/x",
                    "GET /metrics",
                    "GET /v1/settings",
                    "GET /v1/settings/file",
                    "PUT /v1/settings",
                    "POST /v1/settings/check",
                    "POST /v1/settings/diff",
                    "GET /v1/settings/history",
                    "GET /v1/policy",
                    "PUT /v1/policy",
                    "GET /v1/wave",
                    "POST /v1/wave/pause",
                    "POST /v1/wave/resume",
                    "POST /v1/hosts/h0/drain",
                    "POST /v1/hosts/h0/return",
                    "POST /v1/hosts/h0/move?pool=desk",
                    "POST /v1/zones/z0/drain",
                    "POST /v1/zones/z0/restore",
                    "GET /v1/teams/club/keys",
                    "PUT /v1/teams/club/keys/k9",
                    "DELETE /v1/teams/club/keys/k1",
                    "GET /v1/zones",
                    "GET /v1/pools",
                    "GET /v1/services",
                    "GET /v1/teams",
                    "GET /v1/hosts",
                    "GET /v1/teams/club",
                    "PUT /v1/teams/club",
                    "DELETE /v1/teams/club",
                    "DELETE /v1/pools/desk",
                    "POST /v1/status",
                    "PATCH /v1/settings",
                    "GET /",
                    "GET /v1",
                    "GET /v1/",
                    "GET /v2/settings",
                    "GET /v1/settings/",
                    "GET /internal/threads",
                    "GET /docs/");

    private final ProcessFleet mFleet = newFleet();
    private final ClientFactory mClients = ClientFactory.builder().build();

    private static ProcessFleet newFleet() {
        try {
            ProcessFleet fleet = new ProcessFleet("limits");
            FleetYaml yaml = new FleetYaml().zone("z0").pool("desk");
            yaml.service("entries", "desk", "maxBodyBytes: " + BODY_BYTES);
            yaml.team("club", 1, 8, fleet.issueKey("club"));
            yaml.host("h0", "desk", "z0", fleet.startHost("h0", 8), 8);
            fleet.startDaemon(
                    "maxConnections: %d%nmaxOperatorConnections: %d%n"
                            .formatted(CALLER_CONNECTIONS, OPERATOR_CONNECTIONS));
            FleetUnderTest.await(
                    () ->
                            fleet.callOperatorPort(0, HttpMethod.PUT, "/v1/settings", yaml.text())
                                            .status()
                                            .code()
                                    == 200);
            FleetUnderTest.await(() -> fleet.isReady(0));
            return fleet;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    @AfterTry
    void close() {
        mClients.close();
        mFleet.close();
    }

    private AggregatedHttpResponse send(String port, RequestHeaders headers, HttpData body) {
        return WebClient.builder("http://127.0.0.1:" + mFleet.daemon(0).port(port))
                .factory(mClients)
                .build()
                .execute(HttpRequest.of(headers, body))
                .aggregate()
                .join();
    }

    private static RequestHeadersBuilder operatorHeaders(HttpMethod method, String path) {
        return RequestHeaders.builder(method, path)
                .add("authorization", "Bearer " + ProcessFleet.OPERATOR_TOKEN);
    }

    @Example
    void everyOperatorRouteNeedsTheToken() {
        String before =
                mFleet.callOperatorPort(0, HttpMethod.GET, "/v1/settings", "").contentUtf8();
        String token = ProcessFleet.OPERATOR_TOKEN;
        List<String> credentials =
                List.of(
                        "",
                        "Bearer ",
                        "Bearer wrong",
                        "Bearer " + token.substring(1),
                        "Bearer " + token.substring(0, token.length() - 1),
                        "Bearer " + token + "x",
                        "bearer" + token,
                        token,
                        "Basic " + token);
        for (String route : ROUTES) {
            String[] parts = route.split(" ");
            for (String credential : credentials) {
                RequestHeadersBuilder headers =
                        RequestHeaders.builder(HttpMethod.valueOf(parts[0]), parts[1]);
                if (!credential.isEmpty()) {
                    headers.add("authorization", credential);
                }
                AggregatedHttpResponse response =
                        send("operators", headers.build(), HttpData.ofUtf8("{}"));
                assertThat(response.status().code())
                        .as(route + " with \"" + credential + "\"")
                        .isEqualTo(401);
                assertThat(response.contentUtf8()).contains("\"reason\":\"unauthorized\"");
            }
        }
        assertThat(mFleet.callOperatorPort(0, HttpMethod.GET, "/v1/settings", "").contentUtf8())
                .isEqualTo(before);
    }

    @Example
    void bodiesAndHeadersAreLimitedOnBothPorts() throws Exception {
        HttpData large = HttpData.wrap(new byte[OPERATOR_BODY_BYTES + 1]);
        RequestHeaders put = operatorHeaders(HttpMethod.PUT, "/v1/settings").build();
        AggregatedHttpResponse refused = send("operators", put, large);
        assertThat(refused.status().code()).isEqualTo(413);
        assertThat(refused.contentUtf8()).contains("\"reason\":\"too-large\"");
        RequestHeaders withoutToken = RequestHeaders.of(HttpMethod.PUT, "/v1/settings");
        // The server refuses a stated length before routing, when it has not read the body yet.
        assertThat(send("operators", withoutToken, large).status().code()).isIn(401, 413);

        String fits = "x".repeat(BODY_BYTES);
        java.util.Map<String, String> none = java.util.Map.of();
        FleetUnderTest.await(
                () -> mFleet.call(0, "club", "entries", fits, none).join().status().code() == 200);
        assertThat(mFleet.call(0, "club", "entries", fits + "x", none).join().status().code())
                .isEqualTo(413);

        for (String port : List.of("operators", "callers")) {
            assertThat(
                            readResponse(
                                    port,
                                    "GET /health HTTP/1.1\r\nhost: h\r\nx: " + "a".repeat(20_000)))
                    .as("long header on the port of " + port)
                    .contains(" 431 ");
            assertThat(readResponse(port, "GET /" + "a".repeat(10_000) + " HTTP/1.1\r\nhost: h"))
                    .as("long request line on the port of " + port)
                    .contains(" 414 ");
        }
    }

    @Example
    void connectionsAreLimitedOnBothPorts() throws Exception {
        assertThat(countServedConnections("operators", 3 * OPERATOR_CONNECTIONS))
                .isEqualTo(OPERATOR_CONNECTIONS);
        assertThat(countServedConnections("callers", 3 * CALLER_CONNECTIONS))
                .isEqualTo(CALLER_CONNECTIONS);
    }

    private String readResponse(String port, String requestHeaders) throws IOException {
        try (Socket socket = connect(port)) {
            socket.getOutputStream()
                    .write((requestHeaders + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
            byte[] response = new byte[4_096];
            int length = socket.getInputStream().read(response);
            return length < 0 ? "closed" : new String(response, 0, length, StandardCharsets.UTF_8);
        }
    }

    private Socket connect(String port) throws IOException {
        Socket socket = new Socket("127.0.0.1", mFleet.daemon(0).port(port));
        socket.setSoTimeout(10_000);
        return socket;
    }

    /** Returns how many of several connections are served while all are held open. */
    private int countServedConnections(String port, int attempts) throws Exception {
        // Connections of earlier requests count until the daemon has seen them closed.
        mFleet.closeClients();
        mClients.close();
        FleetUnderTest.await(() -> countServed(port, attempts) >= connectionLimit(port));
        return countServed(port, attempts);
    }

    private static int connectionLimit(String port) {
        return port.equals("operators") ? OPERATOR_CONNECTIONS : CALLER_CONNECTIONS;
    }

    private int countServed(String port, int attempts) {
        List<Socket> sockets = new ArrayList<>();
        int served = 0;
        try {
            for (int i = 0; i < attempts; i++) {
                Socket socket = connect(port);
                sockets.add(socket);
                if (isServed(socket)) {
                    served++;
                }
            }
            return served;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            sockets.forEach(PortLimitsProcessTest::closeQuietly);
        }
    }

    private static boolean isServed(Socket socket) throws IOException {
        try {
            socket.getOutputStream()
                    .write(
                            "GET /health/live HTTP/1.1\r\nhost: h\r\n\r\n"
                                    .getBytes(StandardCharsets.UTF_8));
            return socket.getInputStream().read() >= 0;
        } catch (SocketTimeoutException e) {
            throw e;
        } catch (SocketException e) {
            return false;
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

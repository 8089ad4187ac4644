package org.marigoldturn.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import javax.net.ssl.SSLException;

/**
 * HTTP client of the operator port; tries the given daemons in turn until one responds.
 *
 * <p>All attempts carry the same headers and thus the same change id, so that a change whose
 * response was lost is not committed twice.
 */
final class OperatorClient {
    /** Exceeds the 6 s for which a daemon waits until a change is accepted. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(15);

    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<String> mUris;
    private final Map<String, String> mHeaders;
    private final ClientFactory mFactory;

    /**
     * @param uris operator ports of the daemons, in the order in which they are tried
     * @param trusted certificates that are trusted for TLS; empty for those of the Java runtime
     */
    OperatorClient(List<String> uris, Map<String, String> headers, List<X509Certificate> trusted) {
        this(uris, headers, factory(trusted));
    }

    private OperatorClient(List<String> uris, Map<String, String> headers, ClientFactory factory) {
        mUris = List.copyOf(uris);
        mHeaders = Map.copyOf(headers);
        mFactory = factory;
    }

    private static ClientFactory factory(List<X509Certificate> trusted) {
        return trusted.isEmpty()
                ? ClientFactory.ofDefault()
                : ClientFactory.builder().tlsCustomizer(tls -> tls.trustManager(trusted)).build();
    }

    /**
     * Response of a daemon.
     *
     * @param status HTTP status code
     */
    record Response(int status, JsonNode body) {}

    JsonNode get(String path) {
        return successful(execute(HttpMethod.GET, path, new byte[0]));
    }

    /** Sends a change or a check and returns the body of the successful response. */
    JsonNode send(HttpMethod method, String path, byte[] body) {
        return successful(execute(method, path, body));
    }

    /**
     * Sends a change that is rejected if the settings no longer have the given version; an
     * If-Version header given by the user takes precedence.
     */
    JsonNode sendIfVersion(HttpMethod method, String path, byte[] body, long version) {
        OperatorClient conditional = this;
        if (!mHeaders.containsKey("if-version")) {
            Map<String, String> headers = new HashMap<>(mHeaders);
            headers.put("if-version", Long.toString(version));
            conditional = new OperatorClient(mUris, headers, mFactory);
        }
        return conditional.send(method, path, body);
    }

    /** Reads data that only some daemons hold: tries the next daemon also after status 404. */
    JsonNode getFromAny(String path) {
        return successful(execute(HttpMethod.GET, path, new byte[0], Set.of(404, 503)));
    }

    /** Returns the response of the first daemon that responds and reaches the store. */
    Response execute(HttpMethod method, String path, byte[] body) {
        return execute(method, path, body, Set.of(503));
    }

    /**
     * Returns the first response whose status is not skipped, otherwise the last one.
     *
     * @param skipped status codes after which the next daemon is tried
     */
    private Response execute(HttpMethod method, String path, byte[] body, Set<Integer> skipped) {
        List<String> failures = new ArrayList<>();
        Response last = null;
        for (String uri : mUris) {
            try {
                Response response = call(uri, method, path, body);
                if (!skipped.contains(response.status())) {
                    return failures.isEmpty() ? response : mentionEarlierAttempt(method, response);
                }
                last = response;
            } catch (CompletionException | IllegalArgumentException e) {
                failures.add(uri + ": " + reason(e));
            }
        }
        if (last != null) {
            return last;
        }
        throw new CommandException(
                ExitCode.UNREACHABLE, "no daemon responded: " + String.join("; ", failures));
    }

    /**
     * Adds a hint to status 404 of a deletion: an earlier attempt whose response was lost may have
     * deleted the entry.
     */
    private static Response mentionEarlierAttempt(HttpMethod method, Response response) {
        if (method == HttpMethod.DELETE
                && response.status() == 404
                && response.body() instanceof ObjectNode body) {
            body.put(
                    "detail",
                    body.path("detail").asText()
                            + "; an earlier attempt may have deleted it, see settings history");
        }
        return response;
    }

    private Response call(String uri, HttpMethod method, String path, byte[] body) {
        RequestHeadersBuilder headers = RequestHeaders.builder(method, path);
        mHeaders.forEach(headers::set);
        AggregatedHttpResponse httpResponse =
                WebClient.builder(uri)
                        .factory(mFactory)
                        .responseTimeout(RESPONSE_TIMEOUT)
                        .build()
                        .execute(HttpRequest.of(headers.build(), HttpData.wrap(body)))
                        .aggregate()
                        .join();
        return new Response(httpResponse.status().code(), parse(uri, httpResponse));
    }

    private static JsonNode parse(String uri, AggregatedHttpResponse response) {
        try {
            return JSON.readTree(response.contentUtf8());
        } catch (JsonProcessingException e) {
            throw new CommandException(
                    ExitCode.FAILED,
                    uri + " is not an operator port: no JSON, HTTP status " + response.status());
        }
    }

    private static JsonNode successful(Response response) {
        if (response.status() == 200 || response.status() == 202) {
            return response.body();
        }
        throw new CommandException(
                ExitCode.ofStatus(response.status()), ProblemText.of(response.body(), ""));
    }

    /**
     * Returns the reason in one line. For a TLS failure it is that of the root cause, since the
     * outer message names only the library.
     */
    private static String reason(RuntimeException failure) {
        boolean tls = false;
        Throwable last = failure;
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            tls |= cause instanceof SSLException;
            last = cause;
        }
        return tls
                ? "TLS failed: " + firstLine(last) + "; pass the trusted certificates with --ca"
                : firstLine(failure.getCause() == null ? failure : failure.getCause());
    }

    private static String firstLine(Throwable failure) {
        return String.valueOf(failure.getMessage()).lines().findFirst().orElse("no response");
    }
}

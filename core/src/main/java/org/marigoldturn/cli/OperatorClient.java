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
 * Calls the first daemon that answers. Every attempt carries the same headers, and with them the
 * same change id, so that a change whose answer was lost is not committed twice.
 */
final class OperatorClient {
    /** Exceeds the longest time for which a daemon waits for acceptance. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(15);

    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<String> mUris;
    private final Map<String, String> mHeaders;
    private final ClientFactory mFactory;

    /**
     * @param trusted certificates by which daemons are trusted; empty for those of the runtime
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
     * An answer.
     *
     * @param status HTTP status
     */
    record Answer(int status, JsonNode body) {}

    JsonNode get(String path) {
        return successful(execute(HttpMethod.GET, path, new byte[0]));
    }

    /** Sends a change or a check and returns the successful answer. */
    JsonNode send(HttpMethod method, String path, byte[] body) {
        return successful(execute(method, path, body));
    }

    /** Sends a change with the version on which it is based. */
    JsonNode sendIfVersion(HttpMethod method, String path, byte[] body, long version) {
        OperatorClient fenced = this;
        if (!mHeaders.containsKey("if-version")) {
            Map<String, String> headers = new HashMap<>(mHeaders);
            headers.put("if-version", Long.toString(version));
            fenced = new OperatorClient(mUris, headers, mFactory);
        }
        return fenced.send(method, path, body);
    }

    /** Reads what only some daemon knows: asks the daemons in turn until one has it. */
    JsonNode getFromAny(String path) {
        return successful(execute(HttpMethod.GET, path, new byte[0], Set.of(404, 503)));
    }

    /** Returns the answer of the first daemon that answers and reaches the store. */
    Answer execute(HttpMethod method, String path, byte[] body) {
        return execute(method, path, body, Set.of(503));
    }

    /**
     * @param skipped statuses at which the next daemon is tried
     */
    private Answer execute(HttpMethod method, String path, byte[] body, Set<Integer> skipped) {
        List<String> failures = new ArrayList<>();
        Answer last = null;
        for (String uri : mUris) {
            try {
                Answer answer = call(uri, method, path, body);
                if (!skipped.contains(answer.status())) {
                    return failures.isEmpty() ? answer : noteEarlierAttempt(method, answer);
                }
                last = answer;
            } catch (CompletionException | IllegalArgumentException e) {
                failures.add(uri + ": " + reason(e));
            }
        }
        if (last != null) {
            return last;
        }
        throw new CommandException(
                ExitCode.UNREACHABLE, "no daemon answers: " + String.join("; ", failures));
    }

    /** A deletion whose answer was lost makes the next daemon answer that nothing is there. */
    private static Answer noteEarlierAttempt(HttpMethod method, Answer answer) {
        if (method == HttpMethod.DELETE
                && answer.status() == 404
                && answer.body() instanceof ObjectNode body) {
            body.put(
                    "detail",
                    body.path("detail").asText()
                            + "; an earlier attempt may have deleted it, see settings history");
        }
        return answer;
    }

    private Answer call(String uri, HttpMethod method, String path, byte[] body) {
        RequestHeadersBuilder headers = RequestHeaders.builder(method, path);
        mHeaders.forEach(headers::set);
        AggregatedHttpResponse response =
                WebClient.builder(uri)
                        .factory(mFactory)
                        .responseTimeout(RESPONSE_TIMEOUT)
                        .build()
                        .execute(HttpRequest.of(headers.build(), HttpData.wrap(body)))
                        .aggregate()
                        .join();
        return new Answer(response.status().code(), parse(uri, response));
    }

    private static JsonNode parse(String uri, AggregatedHttpResponse response) {
        try {
            return JSON.readTree(response.contentUtf8());
        } catch (JsonProcessingException e) {
            throw new CommandException(
                    ExitCode.FAILED, uri + " is no operator port: status " + response.status());
        }
    }

    private static JsonNode successful(Answer answer) {
        if (answer.status() == 200 || answer.status() == 202) {
            return answer.body();
        }
        throw new CommandException(
                ExitCode.ofStatus(answer.status()), ProblemText.of(answer.body(), ""));
    }

    /** The message of a TLS failure names the library; its last cause names the reason. */
    private static String reason(RuntimeException failure) {
        boolean tls = false;
        Throwable last = failure;
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            tls |= cause instanceof SSLException;
            last = cause;
        }
        return tls
                ? "TLS failed, " + firstLine(last) + "; --ca names trusted certificates"
                : firstLine(failure.getCause() == null ? failure : failure.getCause());
    }

    private static String firstLine(Throwable failure) {
        return String.valueOf(failure.getMessage()).lines().findFirst().orElse("no answer");
    }
}

package org.marigoldturn.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;

/** Writes the responses that the daemon itself makes, as problem details (RFC 9457). */
public final class Problems {
    private static final MediaType PROBLEM_JSON = MediaType.parse("application/problem+json");
    private static final ObjectMapper JSON = new ObjectMapper();

    private Problems() {}

    /** Returns the complete response. */
    public static HttpResponse response(EntryProblem problem) {
        return HttpResponse.of(headers(problem).build(), body(problem));
    }

    static ResponseHeadersBuilder headers(EntryProblem problem) {
        ResponseHeadersBuilder headers =
                ResponseHeaders.builder(problem.status())
                        .contentType(PROBLEM_JSON)
                        .set(CallerHeaders.OUTCOME, problem.outcome().headerValue());
        if (problem.retryAfterSeconds() > 0) {
            headers.setInt("retry-after", problem.retryAfterSeconds());
        }
        return headers;
    }

    static HttpData body(EntryProblem problem) {
        ObjectNode body = JSON.createObjectNode();
        body.put("type", "urn:marigoldturn:" + problem.reason());
        body.put("title", problem.status().reasonPhrase());
        body.put("status", problem.status().code());
        body.put("detail", problem.detail());
        body.put("outcome", problem.outcome().headerValue());
        body.put("reason", problem.reason());
        return HttpData.ofUtf8(body.toString());
    }
}

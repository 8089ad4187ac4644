package org.marigoldturn.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;

/** Builds the answers that the system itself makes, as problem details (RFC 9457). */
public final class Problems {
    /** Header with the machine-readable outcome. */
    public static final String OUTCOME_HEADER = "marigoldturn-outcome";

    private static final MediaType PROBLEM_JSON = MediaType.parse("application/problem+json");
    private static final ObjectMapper JSON = new ObjectMapper();

    private Problems() {}

    /** Returns an answer that says that the request certainly did not run. */
    public static HttpResponse notRun(HttpStatus status, String reason, String detail) {
        return problem(status, "not-run", reason, detail, 0);
    }

    /** Returns a {@code not-run} answer that asks the caller to wait before it retries. */
    public static HttpResponse notRunRetryLater(
            HttpStatus status, String reason, String detail, int retryAfterSeconds) {
        return problem(status, "not-run", reason, detail, retryAfterSeconds);
    }

    /** Returns an answer that says that the request may have run. */
    public static HttpResponse unknown(HttpStatus status, String reason, String detail) {
        return problem(status, "unknown", reason, detail, 0);
    }

    private static HttpResponse problem(
            HttpStatus status, String outcome, String reason, String detail, int retryAfter) {
        ObjectNode body = JSON.createObjectNode();
        body.put("type", "urn:marigoldturn:" + reason);
        body.put("title", status.reasonPhrase());
        body.put("status", status.code());
        body.put("detail", detail);
        body.put("outcome", outcome);
        body.put("reason", reason);
        ResponseHeadersBuilder headers =
                ResponseHeaders.builder(status)
                        .contentType(PROBLEM_JSON)
                        .set(OUTCOME_HEADER, outcome);
        if (retryAfter > 0) {
            headers.setInt("retry-after", retryAfter);
        }
        return HttpResponse.of(headers.build(), HttpData.ofUtf8(body.toString()));
    }
}

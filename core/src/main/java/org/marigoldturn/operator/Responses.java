package org.marigoldturn.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.ContentTooLargeException;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.HttpStatusException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.marigoldturn.settings.KeySecrets;
import org.marigoldturn.settings.SettingsException;
import org.tinylog.Logger;

/** Builds JSON responses and problem details (RFC 9457). */
final class Responses {
    static final ObjectMapper JSON = new ObjectMapper();

    private static final MediaType PROBLEM_JSON = MediaType.parse("application/problem+json");

    private Responses() {}

    static HttpResponse json(Object value) {
        return json(HttpStatus.OK, MediaType.JSON, value);
    }

    static HttpResponse json(HttpStatus status, MediaType type, Object value) {
        try {
            return HttpResponse.of(status, type, JSON.writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode " + value.getClass(), e);
        }
    }

    /** Returns the problem detail for a failure of a route, and logs failures of the daemon. */
    static HttpResponse problem(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof OperatorException e) {
            return problem(e.status(), e.reason(), e.getMessage(), e.members());
        }
        if (cause instanceof IllegalArgumentException) {
            return problem(HttpStatus.BAD_REQUEST, "bad-request", cause.getMessage(), Map.of());
        }
        if (cause instanceof HttpStatusException e && e.httpStatus().isClientError()) {
            return rejected(e.httpStatus());
        }
        if (cause instanceof ContentTooLargeException) {
            return rejected(HttpStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        if (cause instanceof SettingsException) {
            Logger.warn(
                    "operator: settings store failed: {}; responding with status 503",
                    cause.getMessage());
            return problem(
                    HttpStatus.SERVICE_UNAVAILABLE,
                    "store-unavailable",
                    cause.getMessage() + "; repeat with the same change id",
                    Map.of());
        }
        Logger.error(cause, "operator: request failed unexpectedly; responding with status 500");
        return problem(
                HttpStatus.INTERNAL_SERVER_ERROR,
                "internal-error",
                "the daemon failed; see its log",
                Map.of());
    }

    /** Returns the problem detail for a request that the HTTP server rejected. */
    private static HttpResponse rejected(HttpStatus status) {
        return status.equals(HttpStatus.REQUEST_ENTITY_TOO_LARGE)
                ? problem(
                        status,
                        "too-large",
                        "the body must have at most %d bytes"
                                .formatted(OperatorService.MAX_BODY_BYTES),
                        Map.of())
                : problem(status, "bad-request", "the request is not valid", Map.of());
    }

    static HttpResponse problem(
            HttpStatus status, String reason, String detail, Map<String, Object> members) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("type", "urn:marigoldturn:" + reason);
        body.put("title", status.reasonPhrase());
        body.put("status", status.code());
        body.put("detail", KeySecrets.hide(detail));
        body.put("reason", reason);
        body.putAll(members);
        return json(status, PROBLEM_JSON, body);
    }
}

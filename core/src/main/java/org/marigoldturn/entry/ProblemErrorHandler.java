package org.marigoldturn.entry;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.annotation.Nullable;
import com.linecorp.armeria.server.HttpStatusException;
import com.linecorp.armeria.server.ServerErrorHandler;
import com.linecorp.armeria.server.ServiceConfig;
import com.linecorp.armeria.server.ServiceRequestContext;
import org.tinylog.Logger;

/** Answers errors outside the filters as problem details. */
final class ProblemErrorHandler implements ServerErrorHandler {
    private static final int FIRST_SERVER_ERROR = 500;

    @Override
    public HttpResponse onServiceException(ServiceRequestContext ctx, Throwable cause) {
        if (cause instanceof HttpStatusException statusException) {
            return Problems.response(protocolProblem(statusException.httpStatus()));
        }
        if (!(cause instanceof RespondFilter.ResponseException)) {
            Logger.warn(cause, "entry: unexpected error.");
        }
        return Problems.response(
                EntryProblem.unknown(
                        HttpStatus.BAD_GATEWAY, "target-failed", "the answer was not complete"));
    }

    @Override
    public AggregatedHttpResponse onProtocolViolation(
            ServiceConfig config,
            @Nullable RequestHeaders headers,
            HttpStatus status,
            @Nullable String description,
            @Nullable Throwable cause) {
        return aggregate(protocolProblem(status));
    }

    @Override
    public AggregatedHttpResponse renderStatus(
            @Nullable ServiceRequestContext ctx,
            ServiceConfig config,
            @Nullable RequestHeaders headers,
            HttpStatus status,
            @Nullable String description,
            @Nullable Throwable cause) {
        return aggregate(protocolProblem(status));
    }

    /** Errors of the server before a service was reached are certain; later ones are not. */
    private static EntryProblem protocolProblem(HttpStatus status) {
        String detail = "the request is not valid: " + status.reasonPhrase();
        return status.code() < FIRST_SERVER_ERROR
                ? EntryProblem.notRun(status, "invalid-request", detail)
                : EntryProblem.unknown(status, "internal-error", "the request failed");
    }

    private static AggregatedHttpResponse aggregate(EntryProblem problem) {
        return AggregatedHttpResponse.of(Problems.headers(problem).build(), Problems.body(problem));
    }
}

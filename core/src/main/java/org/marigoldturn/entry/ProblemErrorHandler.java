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

/** Turns errors that occur outside the filters into problem details. */
final class ProblemErrorHandler implements ServerErrorHandler {
    private static final int FIRST_SERVER_ERROR = 500;

    @Override
    public HttpResponse onServiceException(ServiceRequestContext ctx, Throwable cause) {
        if (cause instanceof HttpStatusException statusException) {
            return Problems.response(protocolProblem(statusException.httpStatus()));
        }
        if (!(cause instanceof RespondFilter.ResponseException)) {
            Logger.warn(
                    cause, "entry: unexpected error; responding with the reason target-failed.");
        }
        return Problems.response(
                EntryProblem.unknown(
                        HttpStatus.BAD_GATEWAY,
                        "target-failed",
                        "no complete response; the request may have run"));
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

    /**
     * Returns the problem for a status of the HTTP server. The server sets a status below 500
     * before it calls a service, so the request certainly did not run; with other statuses it may
     * have run.
     */
    private static EntryProblem protocolProblem(HttpStatus status) {
        String detail = "the request is invalid: " + status.reasonPhrase();
        return status.code() < FIRST_SERVER_ERROR
                ? EntryProblem.notRun(status, "invalid-request", detail)
                : EntryProblem.unknown(status, "internal-error", "the request failed");
    }

    private static AggregatedHttpResponse aggregate(EntryProblem problem) {
        return AggregatedHttpResponse.of(Problems.headers(problem).build(), Problems.body(problem));
    }
}

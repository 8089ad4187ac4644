package org.marigoldturn.entry;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.stream.ClosedStreamException;
import java.util.function.LongSupplier;
import org.marigoldturn.routing.AttemptDecision;
import org.marigoldturn.routing.AttemptDecision.FinishNotRun;
import org.marigoldturn.routing.ClaimRegistry;
import org.tinylog.Logger;

/** Sends a target's response or a problem to the caller. Runs on the event loop of the exchange. */
final class RespondFilter {
    /**
     * The target's response can't be completed, but its headers were already sent to the caller.
     * Extends {@link ClosedStreamException} because the server logs no stack trace for that type.
     */
    static final class ResponseException extends ClosedStreamException {
        private static final long serialVersionUID = 1L;

        ResponseException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    private final ClaimRegistry mClaims;
    private final LongSupplier mNowNanos;
    private final DecisionSink mDecisions;
    private final LogLimiter mLogLimiter;
    private final FilterMetrics mMetrics;

    RespondFilter(EntryDependencies dependencies, LogLimiter logLimiter) {
        mClaims = dependencies.claims();
        mDecisions = dependencies.decisions();
        mNowNanos = dependencies.nowNanos();
        mLogLimiter = logLimiter;
        mMetrics = new FilterMetrics(dependencies.metrics(), "respond");
    }

    /** Ends the exchange with a problem. */
    void reject(Exchange exchange, EntryProblem problem) {
        if (exchange.ended()) {
            return;
        }
        boolean notRun = problem.outcome() == Outcome.NOT_RUN;
        if (notRun && exchange.idGranted()) {
            mClaims.release(exchange.request().id());
        }
        log(exchange, problem);
        ResponseHeaders headers =
                Problems.headers(problem)
                        .set(CallerHeaders.REQUEST_ID, exchange.request().id().toString())
                        .build();
        mMetrics.rejected();
        exchange.end();
        boolean open = exchange.writer().tryWrite(headers);
        if (open && exchange.writer().tryWrite(Problems.body(problem))) {
            exchange.writer().close();
        }
    }

    /**
     * Ends the exchange with the problem of a final decision.
     *
     * @throws IllegalArgumentException if the decision is to retry
     */
    void finish(Exchange exchange, AttemptDecision decision) {
        if (decision instanceof FinishNotRun notRun) {
            reject(exchange, notRunProblem(notRun.reason()));
        } else if (decision instanceof AttemptDecision.FinishUnknown unknown) {
            reject(exchange, unknownProblem(unknown.reason()));
        } else {
            throw new IllegalArgumentException("decision does not end the request: " + decision);
        }
    }

    /** Sends the response headers; returns false if the caller has disconnected. */
    boolean writeHeaders(Exchange exchange, ResponseHeaders headers) {
        exchange.setHeadersSent();
        return exchange.writer()
                .tryWrite(CallerHeaders.toCaller(headers, exchange.request().id().toString()));
    }

    /** Sends a part of the body, or trailers; returns false if the caller has disconnected. */
    boolean writePart(Exchange exchange, HttpObject part) {
        if (part instanceof HttpHeaders trailers && trailers.isEmpty()) {
            return true;
        }
        return exchange.writer().tryWrite(withoutEnd(part));
    }

    /**
     * Returns the part without the end-of-stream flag. Only {@link #complete} ends a response, so
     * that a caller never sees the end of its request before its rights are released.
     */
    static HttpObject withoutEnd(HttpObject part) {
        return part instanceof HttpData data && data.isEndOfStream()
                ? data.withEndOfStream(false)
                : part;
    }

    /** Ends a response that was sent completely. */
    void complete(Exchange exchange) {
        mMetrics.passed();
        exchange.end();
        exchange.writer().close();
    }

    /**
     * Resets the stream to the caller, so that it can't mistake an incomplete response for a
     * complete one; no effect if the exchange has already ended.
     */
    void abort(Exchange exchange, String reason, Throwable cause) {
        if (exchange.ended()) {
            return;
        }
        Logger.warn(
                "entry: response aborted. request={} team={} service={} reason={} cause={}",
                exchange.request().id(),
                exchange.request().team(),
                exchange.request().service().name(),
                reason,
                String.valueOf(cause));
        mMetrics.rejected();
        exchange.end();
        exchange.writer().close(new ResponseException(reason, cause));
    }

    private void log(Exchange exchange, EntryProblem problem) {
        mDecisions.add(
                exchange.request().id().toString(),
                "respond",
                "rejected as %s, reason %s"
                        .formatted(problem.outcome().headerValue(), problem.reason()));
        if (!mLogLimiter.tryLog(mNowNanos.getAsLong())) {
            return;
        }
        Logger.info(
                "entry: rejected. request={} team={} service={} outcome={} reason={} unlogged={}",
                exchange.request().id(),
                exchange.request().team(),
                exchange.request().service().name(),
                problem.outcome().headerValue(),
                problem.reason(),
                mLogLimiter.takeSuppressed());
    }

    private static EntryProblem notRunProblem(String reason) {
        return switch (reason) {
            case DispatchFilter.INVALID_KEY ->
                    EntryProblem.notRun(
                            HttpStatus.UNAUTHORIZED,
                            reason,
                            "the key was revoked while the request was queued");
            case DispatchFilter.DEADLINE_PASSED ->
                    EntryProblem.retryLater(
                            HttpStatus.SERVICE_UNAVAILABLE,
                            reason,
                            "no host was free before the deadline");
            case DispatchFilter.NOT_CONFIRMED ->
                    EntryProblem.retryLater(
                            HttpStatus.SERVICE_UNAVAILABLE,
                            reason,
                            "this daemon can't confirm that its settings are in force");
            default ->
                    EntryProblem.retryLater(
                            HttpStatus.SERVICE_UNAVAILABLE, reason, "no host accepted the request");
        };
    }

    private static EntryProblem unknownProblem(String reason) {
        boolean late = reason.equals(DispatchFilter.DEADLINE_PASSED);
        return EntryProblem.unknown(
                late ? HttpStatus.GATEWAY_TIMEOUT : HttpStatus.BAD_GATEWAY,
                reason,
                late
                        ? "no complete response arrived before the deadline"
                        : "no complete response arrived from a host");
    }
}

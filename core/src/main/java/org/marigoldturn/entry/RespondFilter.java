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

/** Passes a target's answer or a problem to the caller. Runs on the event loop of the exchange. */
final class RespondFilter {
    /**
     * The target's answer can't be completed after its headers were passed on. A subtype of the
     * exception for closed streams, for which the server logs no stack trace.
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

    /** Ends the exchange as the attempts decided. */
    void finish(Exchange exchange, AttemptDecision decision) {
        if (decision instanceof FinishNotRun notRun) {
            reject(exchange, notRunProblem(notRun.reason()));
        } else if (decision instanceof AttemptDecision.FinishUnknown unknown) {
            reject(exchange, unknownProblem(unknown.reason()));
        } else {
            throw new IllegalArgumentException("the request goes on: " + decision);
        }
    }

    /** Starts the answer; returns false if the caller has gone. */
    boolean head(Exchange exchange, ResponseHeaders headers) {
        exchange.setHeadSent();
        return exchange.writer()
                .tryWrite(CallerHeaders.toCaller(headers, exchange.request().id().toString()));
    }

    /** Passes a part of the body, or trailers; returns false if the caller has gone. */
    boolean part(Exchange exchange, HttpObject part) {
        if (part instanceof HttpHeaders trailers && trailers.isEmpty()) {
            return true;
        }
        return exchange.writer().tryWrite(withoutEnd(part));
    }

    /**
     * Returns the part without the mark of the last one. Only {@link #complete} ends an answer, so
     * that a caller never sees the end of its request while the rights are still taken.
     */
    static HttpObject withoutEnd(HttpObject part) {
        return part instanceof HttpData data && data.isEndOfStream()
                ? data.withEndOfStream(false)
                : part;
    }

    /** Ends a complete answer. */
    void complete(Exchange exchange) {
        mMetrics.passed();
        exchange.end();
        exchange.writer().close();
    }

    /** Resets the stream to the caller, so that an incomplete answer never looks complete. */
    void abort(Exchange exchange, String reason, Throwable cause) {
        if (exchange.ended()) {
            return;
        }
        Logger.warn(
                "entry: answer aborted. request={} team={} service={} reason={} cause={}",
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
                            HttpStatus.UNAUTHORIZED, reason, "the key was revoked meanwhile");
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
                            HttpStatus.SERVICE_UNAVAILABLE, reason, "no host took the request");
        };
    }

    private static EntryProblem unknownProblem(String reason) {
        boolean late = reason.equals(DispatchFilter.DEADLINE_PASSED);
        return EntryProblem.unknown(
                late ? HttpStatus.GATEWAY_TIMEOUT : HttpStatus.BAD_GATEWAY,
                reason,
                late
                        ? "no complete answer arrived before the deadline"
                        : "the host's answer was not complete");
    }
}

package org.marigoldturn.entry;

import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.marigoldturn.admission.QueuedRequest;
import org.marigoldturn.routing.AttemptDecision;
import org.marigoldturn.routing.AttemptFailure;
import org.marigoldturn.routing.RequestState;
import org.marigoldturn.routing.TargetSelector.Selection;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.tinylog.Logger;

/**
 * Sends requests to targets and decides, from the responses, whether to retry, to respond to the
 * caller or to abort. Runs on the event loops of the exchanges.
 */
final class DispatchFilter implements TargetAttempt.Listener {
    static final String DEADLINE_PASSED = "deadline-passed";

    /** The host was taken out of service between its selection and the start of the attempt. */
    static final String HOST_LEFT = "host-left";

    static final String NOT_CONFIRMED = "not-confirmed";
    static final String INVALID_KEY = "invalid-key";
    static final String CALLER_GONE = "caller-gone";

    private final EntryDependencies mDependencies;
    private final Supplier<FleetView> mView;
    private final TargetClients mClients;
    private final AbandonedAttempts mAbandonedAttempts;
    private final AuthenticateFilter mAuthenticate;
    private final SelectFilter mSelect;
    private final AdmitFilter mAdmit;
    private final RespondFilter mRespond;
    private final FilterMetrics mMetrics;

    /** The other filters that this one calls. */
    record Filters(
            AuthenticateFilter authenticate,
            SelectFilter select,
            AdmitFilter admit,
            RespondFilter respond) {}

    DispatchFilter(
            EntryDependencies dependencies,
            Supplier<FleetView> view,
            TargetClients clients,
            AbandonedAttempts abandonedAttempts,
            Filters filters) {
        mDependencies = dependencies;
        mView = view;
        mClients = clients;
        mAbandonedAttempts = abandonedAttempts;
        mAuthenticate = filters.authenticate();
        mSelect = filters.select();
        mAdmit = filters.admit();
        mRespond = filters.respond();
        mMetrics = new FilterMetrics(dependencies.metrics(), "dispatch");
    }

    /**
     * Starts an attempt for which the rights of the team and of the host slot are already taken.
     */
    void begin(QueuedRequest<Exchange> queued, Selection selection) {
        Exchange exchange = queued.attachment();
        exchange.setQueued(null);
        String refusal = refusal(exchange, selection.host());
        if (refusal != null) {
            mSelect.releaseUnused(exchange.request().service().pool(), selection);
            mAdmit.ended(queued);
            mMetrics.rejected();
            if (refusal.equals(HOST_LEFT)) {
                mAdmit.admitAgain(exchange);
            } else if (!exchange.ended()) {
                mRespond.finish(exchange, exchange.attempts().abandon(refusal));
            }
            return;
        }
        exchange.attempts().dispatch(selection.host().name());
        log("selected host", exchange, selection.host(), selection.reason());
        mAdmit.started(exchange, mDependencies.nowNanos().getAsLong());
        send(exchange, queued, selection);
    }

    /** Ends a request whose deadline has passed. */
    void onDeadline(Exchange exchange) {
        TargetAttempt attempt = exchange.current();
        mAdmit.cancel(exchange);
        if (exchange.headersSent()) {
            abandonAttempt(attempt, DEADLINE_PASSED);
            mRespond.abort(exchange, DEADLINE_PASSED, null);
            return;
        }
        if (attempt != null) {
            abandonAttempt(attempt, DEADLINE_PASSED);
        }
        mRespond.finish(exchange, exchange.attempts().abandon(DEADLINE_PASSED));
    }

    /** Ends a request that was removed from the queue because the settings are not confirmed. */
    void refuseUnconfirmed(Exchange exchange) {
        exchange.setQueued(null);
        if (!exchange.ended()) {
            mMetrics.rejected();
            mRespond.finish(exchange, exchange.attempts().abandon(NOT_CONFIRMED));
        }
    }

    /** Ends a request whose caller has closed its stream; no effect if it has already ended. */
    void onCallerGone(Exchange exchange) {
        if (exchange.ended()) {
            return;
        }
        mAdmit.cancel(exchange);
        TargetAttempt attempt = exchange.current();
        if (attempt != null) {
            abandonAttempt(attempt, CALLER_GONE);
        }
        if (exchange.headersSent()) {
            exchange.end();
        } else {
            mRespond.finish(exchange, exchange.attempts().abandon(CALLER_GONE));
        }
    }

    @Override
    public boolean onResponseHeaders(TargetAttempt attempt, ResponseHeaders headers) {
        Exchange exchange = attempt.exchange();
        int status = headers.status().code();
        if (exchange.request().service().notRunStatuses().contains(status)) {
            attempt.detach();
            onAttemptFailed(attempt, AttemptFailure.NOT_PROCESSED, "status-" + status);
            return false;
        }
        if (AttemptRules.isServerError(headers) && tryRetryElsewhere(attempt, "status-" + status)) {
            return false;
        }
        exchange.attempts().onResponseStarted();
        return mRespond.writeHeaders(exchange, headers);
    }

    @Override
    public boolean onPart(TargetAttempt attempt, HttpObject part) {
        return mRespond.writePart(attempt.exchange(), part);
    }

    @Override
    public void onCallerTooSlow(TargetAttempt attempt) {
        // As with a caller that has gone, the attempt does not count against the host.
        abandonAttempt(attempt, CALLER_GONE);
        mRespond.abort(attempt.exchange(), "caller-too-slow", null);
        attempt.resume();
    }

    @Override
    public void onEnd(TargetAttempt attempt, Throwable failure) {
        boolean complete = failure == null && attempt.isComplete();
        report(attempt, complete && !AttemptRules.isServerError(attempt.responseHeaders()));
        if (AttemptRules.provesEnd(failure)) {
            mAbandonedAttempts.remove(attempt);
            release(attempt);
        } else {
            keepUntilEndProven(attempt);
        }
        if (attempt.detached()) {
            return;
        }
        attempt.detach();
        Exchange exchange = attempt.exchange();
        if (complete) {
            mMetrics.passed();
            mMetrics.took(mDependencies.nowNanos().getAsLong() - attempt.startedNanos());
            mRespond.complete(exchange);
        } else if (exchange.headersSent()) {
            mMetrics.rejected();
            mRespond.abort(exchange, "truncated-answer", failure);
        } else {
            onAttemptFailed(attempt, AttemptRules.kind(failure), AttemptRules.describe(failure));
        }
    }

    /** Returns the reason why a selected request must not be sent, or null if it may be sent. */
    @SuppressWarnings("ReferenceEquality") // Views are immutable and replaced as a whole.
    private String refusal(Exchange exchange, HostSettings host) {
        long nowNanos = mDependencies.nowNanos().getAsLong();
        if (exchange.ended()) {
            return CALLER_GONE;
        }
        if (exchange.remainingMillis(nowNanos) <= 0) {
            return DEADLINE_PASSED;
        }
        FleetView view = mView.get();
        String refusal = refusal(exchange, host, view, nowNanos);
        // The settings may have been replaced between reading the view and checking the gate.
        return NOT_CONFIRMED.equals(refusal) && mView.get() != view
                ? refusal(exchange, host, mView.get(), nowNanos)
                : refusal;
    }

    private String refusal(Exchange exchange, HostSettings host, FleetView view, long nowNanos) {
        FleetSettings settings = view.state().settings();
        if (!mAuthenticate.isStillInForce(exchange.request().caller(), settings)) {
            return INVALID_KEY;
        }
        if (!view.pool(host.pool()).isInService(host.name())) {
            return HOST_LEFT;
        }
        return mDependencies.gate().mayServe(view.state().version(), nowNanos)
                ? null
                : NOT_CONFIRMED;
    }

    private void send(Exchange exchange, QueuedRequest<Exchange> queued, Selection selection) {
        HttpResponse response = execute(exchange, selection.host());
        long nowNanos = mDependencies.nowNanos().getAsLong();
        TargetAttempt attempt =
                new TargetAttempt(exchange, queued, selection, response, nowNanos, this);
        exchange.setCurrent(attempt);
        response.subscribe(attempt, exchange.eventLoop());
        if (exchange.attempts().hasAttemptsLeft()) {
            exchange.schedule(exchange.remainingMillis(nowNanos) / 2, () -> onLate(attempt));
        }
    }

    /** Sends the request; an error while it is built proves that nothing was sent. */
    private HttpResponse execute(Exchange exchange, HostSettings host) {
        WebClient client;
        HttpRequest request;
        try {
            client = mClients.client(host, exchange.request().service().protocol());
            request = HttpRequest.of(targetHeaders(exchange), exchange.body().content());
        } catch (IllegalArgumentException e) {
            return HttpResponse.ofFailure(UnprocessedRequestException.of(e));
        }
        return client.execute(request);
    }

    private RequestHeaders targetHeaders(Exchange exchange) {
        RequestHeaders from = exchange.body().headers();
        RequestHeadersBuilder to =
                RequestHeaders.builder(from.method(), exchange.request().targetPath())
                        .set(CallerHeaders.REQUEST_ID, exchange.request().id().toString())
                        .set(CallerHeaders.OWNER, mDependencies.daemonId())
                        .set(CallerHeaders.TEAM, exchange.request().team())
                        .set(
                                CallerHeaders.IDEMPOTENT,
                                Boolean.toString(exchange.request().idempotent()));
        CallerHeaders.copyToTarget(from, to);
        return to.build();
    }

    /**
     * Retries an idempotent request on another host, which may be faster, if no response headers
     * have arrived after half of the time that was left when the attempt started.
     */
    private void onLate(TargetAttempt attempt) {
        Exchange exchange = attempt.exchange();
        boolean stillWaiting =
                exchange.current() == attempt
                        && exchange.attempts().state() == RequestState.DISPATCHING;
        if (stillWaiting && tryRetryElsewhere(attempt, "late")) {
            abandonAttempt(attempt, "late");
        }
    }

    /** Schedules a retry of an idempotent request on another host if the retry rules allow it. */
    private boolean tryRetryElsewhere(TargetAttempt attempt, String reason) {
        Exchange exchange = attempt.exchange();
        OptionalLong delay =
                exchange.attempts()
                        .tryReplace(
                                exchange.remainingMillis(mDependencies.nowNanos().getAsLong()),
                                hasOtherHost(exchange),
                                mDependencies.random());
        if (delay.isEmpty()) {
            return false;
        }
        retry(attempt, delay.getAsLong(), reason);
        return true;
    }

    /** Retries a failed attempt or ends the request, as the retry rules decide. */
    private void onAttemptFailed(TargetAttempt attempt, AttemptFailure failure, String reason) {
        Exchange exchange = attempt.exchange();
        mMetrics.rejected();
        AttemptDecision decision =
                exchange.attempts()
                        .onFailed(
                                failure,
                                exchange.remainingMillis(mDependencies.nowNanos().getAsLong()),
                                hasOtherHost(exchange),
                                mDependencies.random());
        if (decision instanceof AttemptDecision.Retry retry) {
            retry(attempt, retry.delayMillis(), reason);
        } else {
            log("attempt failed", exchange, attempt.selection().host(), reason);
            mRespond.finish(exchange, decision);
        }
    }

    private void retry(TargetAttempt attempt, long delayMillis, String reason) {
        Exchange exchange = attempt.exchange();
        log("retrying on another host", exchange, attempt.selection().host(), reason);
        exchange.schedule(delayMillis, () -> mAdmit.admitAgain(exchange));
    }

    private boolean hasOtherHost(Exchange exchange) {
        return mSelect.hasOtherHost(
                mView.get(), exchange.request(), exchange.attempts().triedHosts());
    }

    /**
     * Abandons an attempt that the target may still run; its rights stay in use until its end is
     * proven.
     */
    private void abandonAttempt(TargetAttempt attempt, String reason) {
        attempt.detach();
        keepUntilEndProven(attempt);
        String pool = attempt.exchange().request().service().pool();
        if (reason.equals(CALLER_GONE)) {
            if (attempt.selection().trial() && attempt.tryReportHealth()) {
                mSelect.abandonTrial(pool, attempt.selection().host().name());
            }
        } else if (attempt.selection().trial()
                || AttemptRules.wasSlow(
                        mDependencies.nowNanos().getAsLong() - attempt.startedNanos(),
                        attempt.exchange().request().service())) {
            report(attempt, false);
        }
    }

    private void keepUntilEndProven(TargetAttempt attempt) {
        if (attempt.released()) {
            return;
        }
        mAbandonedAttempts.add(
                attempt,
                new AbandonedAttempts.Pending(
                        attempt.selection().host().name(),
                        attempt.exchange().request().id().toString(),
                        mDependencies.nowMillis().getAsLong(),
                        () -> {
                            release(attempt);
                            attempt.stop();
                        }));
    }

    private void release(TargetAttempt attempt) {
        if (attempt.tryRelease()) {
            mSelect.releaseSlot(attempt.selection().host().name());
            mAdmit.ended(attempt.queued());
        }
    }

    private void report(TargetAttempt attempt, boolean success) {
        if (attempt.tryReportHealth()) {
            mSelect.report(
                    mView.get(),
                    attempt.exchange().request().service().pool(),
                    attempt.selection().host().name(),
                    success);
        }
    }

    private void log(String event, Exchange exchange, HostSettings host, String reason) {
        String detail =
                "%s: host %s, zone %s, attempt %d, reason %s"
                        .formatted(
                                event,
                                host.name(),
                                host.zone(),
                                exchange.attempts().attempts(),
                                reason);
        mDependencies.decisions().add(exchange.request().id().toString(), "dispatch", detail);
        Logger.info(
                "routing: {}. request={} team={} service={} host={} zone={} attempt={} reason={}",
                event,
                exchange.request().id(),
                exchange.request().team(),
                exchange.request().service().name(),
                host.name(),
                host.zone(),
                exchange.attempts().attempts(),
                reason);
    }
}

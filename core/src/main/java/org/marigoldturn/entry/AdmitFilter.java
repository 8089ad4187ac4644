package org.marigoldturn.entry;

import com.linecorp.armeria.common.HttpStatus;
import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.marigoldturn.admission.AdmissionError;
import org.marigoldturn.admission.PoolQueue;
import org.marigoldturn.admission.QueuedRequest;
import org.marigoldturn.admission.TeamRequestCounts;
import org.marigoldturn.routing.ClaimResult;

/**
 * Checks whether requests can run, claims their ids and queues them for the dispatchers of the
 * pools. Thread safe.
 */
final class AdmitFilter {
    /** Why a request is not admitted. */
    enum AdmissionProblem {
        NOT_CONFIRMED("this daemon can't confirm that its settings are in force"),
        DRAINING("this daemon is shutting down"),
        NO_HOST("no host of the pool is in service"),
        NO_HOST_FITS(422, "no host of the pool has the resources that the request needs"),
        QUEUE_FULL(429, "the queue of the team is full"),
        TOO_MANY_SIZES(429, "the queue holds too many different resource needs"),
        DEADLINE_PASSED("the deadline passed before the request was queued"),
        BODY_MEMORY_FULL("the memory of this daemon for request bodies is full"),
        CLAIM_UNAVAILABLE("the daemon that records claims of this request id does not respond"),
        DUPLICATE_REQUEST_ID(409, "a request with this id was accepted before"),
        REQUEST_ID_NOT_VERIFIABLE(409, "a request with this id may have been accepted before");

        private final int mStatusCode;
        private final String mDetail;

        AdmissionProblem(String detail) {
            this(503, detail);
        }

        AdmissionProblem(int statusCode, String detail) {
            mStatusCode = statusCode;
            mDetail = detail;
        }

        EntryProblem problem() {
            String reason = name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
            HttpStatus status = HttpStatus.valueOf(mStatusCode);
            return switch (this) {
                case DUPLICATE_REQUEST_ID, REQUEST_ID_NOT_VERIFIABLE ->
                        EntryProblem.unknown(status, reason, mDetail);
                case NO_HOST_FITS -> EntryProblem.notRun(status, reason, mDetail);
                default -> EntryProblem.retryLater(status, reason, mDetail);
            };
        }

        static AdmissionProblem of(AdmissionError error) {
            return switch (error) {
                case QUEUE_FULL -> QUEUE_FULL;
                case TOO_MANY_SIZES -> TOO_MANY_SIZES;
                case DEADLINE_PASSED -> DEADLINE_PASSED;
            };
        }
    }

    private final EntryDependencies mDependencies;
    private final Supplier<FleetView> mView;
    private final SelectFilter mSelect;
    private final RespondFilter mRespond;
    private final PoolDispatcher.Listener mListener;
    private final FilterMetrics mMetrics;
    private final Map<String, PoolDispatcher> mDispatchers = new ConcurrentHashMap<>();
    private final ConfirmationTimeout mConfirmationTimeout = new ConfirmationTimeout();

    AdmitFilter(
            EntryDependencies dependencies,
            Supplier<FleetView> view,
            SelectFilter select,
            RespondFilter respond,
            PoolDispatcher.Listener listener) {
        mDependencies = dependencies;
        mView = view;
        mSelect = select;
        mRespond = respond;
        mListener = listener;
        mMetrics = new FilterMetrics(dependencies.metrics(), "admit");
    }

    /**
     * Makes the checks that need no body: the settings are confirmed, and the pool has a host in
     * service and a host with the resources that the request needs.
     */
    Optional<AdmissionProblem> checkBeforeBody(
            CallerRequest request, FleetView view, long nowNanos) {
        if (!mDependencies.gate().mayServe(nowNanos)) {
            return refuse(AdmissionProblem.NOT_CONFIRMED);
        }
        if (!view.pool(request.service().pool()).fits(request.needs())) {
            return refuse(AdmissionProblem.NO_HOST_FITS);
        }
        if (view.pool(request.service().pool()).inService().isEmpty()) {
            return refuse(AdmissionProblem.NO_HOST);
        }
        return Optional.empty();
    }

    /** Claims the request id if the caller chose it, and queues the request. */
    void admit(Exchange exchange) {
        if (!exchange.request().needsClaim()) {
            enqueue(exchange, false);
            return;
        }
        var unused =
                mDependencies
                        .claims()
                        .claim(exchange.request().id())
                        .whenComplete(
                                (result, failure) ->
                                        exchange.execute(
                                                () -> onClaimed(exchange, result, failure)));
    }

    /** Queues a request again for its next attempt. */
    void admitAgain(Exchange exchange) {
        exchange.publishTriedHosts();
        enqueue(exchange, true);
    }

    /** Removes a request from the queue if it is queued. */
    void cancel(Exchange exchange) {
        QueuedRequest<Exchange> queued = exchange.queued();
        if (queued != null) {
            dispatcher(exchange).queue().cancel(queued);
            exchange.setQueued(null);
        }
    }

    /**
     * Releases the right of the team that an ended or refused attempt took, and starts queued
     * requests that can start now.
     */
    void ended(QueuedRequest<Exchange> request) {
        dispatcher(request.attachment()).queue().onEnded(request);
        // A queued request of any pool may need the right of the team.
        startQueued();
    }

    /** Records the time from the arrival of the request to the start of an attempt. */
    void started(Exchange exchange, long nowNanos) {
        mMetrics.took(nowNanos - exchange.arrivedNanos());
    }

    /**
     * Starts the queued requests of all pools that can start now, and ends those that waited too
     * long. Nothing can start while the settings are not confirmed, so all queued requests are
     * refused when that has lasted for {@link ConfirmationTimeout#GRACE_NANOS}.
     */
    void startQueued() {
        long nowNanos = mDependencies.nowNanos().getAsLong();
        if (mConfirmationTimeout.hasElapsed(mDependencies.gate().mayServe(nowNanos), nowNanos)) {
            mDispatchers.values().forEach(PoolDispatcher::refuseAll);
        } else {
            mDispatchers.values().forEach(PoolDispatcher::run);
        }
    }

    /** Returns whether a request is queued in any pool. */
    boolean hasQueued() {
        return mDispatchers.values().stream().anyMatch(d -> d.queue().queued() > 0);
    }

    /** Returns the numbers of running and queued requests by pool and team. */
    Map<String, Map<String, TeamRequestCounts>> demand() {
        Map<String, Map<String, TeamRequestCounts>> demand = new TreeMap<>();
        mDispatchers.forEach((pool, dispatcher) -> demand.put(pool, dispatcher.queue().demand()));
        return demand;
    }

    private Optional<AdmissionProblem> refuse(AdmissionProblem problem) {
        mMetrics.rejected();
        return Optional.of(problem);
    }

    private void onClaimed(Exchange exchange, ClaimResult result, Throwable failure) {
        if (failure == null && result == ClaimResult.GRANTED) {
            if (exchange.ended()) {
                mDependencies.claims().release(exchange.request().id());
                return;
            }
            exchange.setIdGranted();
            enqueue(exchange, false);
            return;
        }
        AdmissionProblem problem =
                failure != null || result == ClaimResult.NOT_OWNER
                        ? AdmissionProblem.CLAIM_UNAVAILABLE
                        : result == ClaimResult.DUPLICATE
                                ? AdmissionProblem.DUPLICATE_REQUEST_ID
                                : AdmissionProblem.REQUEST_ID_NOT_VERIFIABLE;
        mMetrics.rejected();
        mRespond.reject(exchange, problem.problem());
    }

    private void enqueue(Exchange exchange, boolean repeated) {
        if (exchange.ended()) {
            return;
        }
        CallerRequest request = exchange.request();
        long expiresNanos = repeated ? request.deadlineNanos() : request.startByNanos();
        QueuedRequest<Exchange> queued =
                new QueuedRequest<>(
                        request.caller().rules(),
                        request.urgent(),
                        repeated,
                        request.needs(),
                        expiresNanos,
                        exchange);
        // Must be set before another thread can start the request.
        exchange.setQueued(queued);
        PoolDispatcher dispatcher = dispatcher(exchange);
        Either<AdmissionError, QueuedRequest<Exchange>> offered =
                dispatcher
                        .queue()
                        .offer(
                                queued,
                                request.service().queueCapacity(),
                                mDependencies.nowNanos().getAsLong());
        if (offered.isRight()) {
            mMetrics.passed();
            dispatcher.run();
            if (dispatcher.queue().queued() > 0) {
                mListener.onWaiting();
            }
            return;
        }
        exchange.setQueued(null);
        mMetrics.rejected();
        if (exchange.attempts().attempts() > 0) {
            mRespond.finish(exchange, exchange.attempts().abandon(DispatchFilter.DEADLINE_PASSED));
        } else {
            mRespond.reject(exchange, AdmissionProblem.of(offered.getLeft()).problem());
        }
    }

    private PoolDispatcher dispatcher(Exchange exchange) {
        return mDispatchers.computeIfAbsent(
                exchange.request().service().pool(), this::createDispatcher);
    }

    private PoolDispatcher createDispatcher(String pool) {
        return new PoolDispatcher(
                pool,
                new PoolQueue<>(pool, mDependencies.rights(), mDependencies.entitlements()),
                mSelect,
                mDependencies.rights(),
                mView,
                mDependencies.nowNanos(),
                mListener);
    }
}

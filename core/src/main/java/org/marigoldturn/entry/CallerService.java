package org.marigoldturn.entry;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.CommonPools;
import com.linecorp.armeria.common.ContentTooLargeException;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.marigoldturn.admission.QueuedRequest;
import org.marigoldturn.admission.TeamRequestCounts;
import org.marigoldturn.entry.AdmitFilter.AdmissionProblem;
import org.marigoldturn.routing.HostHealthReport;
import org.marigoldturn.routing.RequestAttempts;
import org.marigoldturn.routing.RetryBudget;
import org.marigoldturn.routing.TargetSelector.Selection;
import org.marigoldturn.settings.VersionedState;
import org.tinylog.Logger;

/**
 * HTTP service for callers. Requests to {@code /services/{service}/...} pass through the filters
 * authenticate, classify, admit, select, dispatch and respond. Thread safe; each request stays on
 * its event loop.
 */
public final class CallerService implements HttpService, AutoCloseable {
    private static final String PATH_PREFIX = "/services/";

    /** Limits the wait for rights that become free without a call of {@link #startQueued}. */
    private static final long START_INTERVAL_MILLIS = 20;

    private final EntryDependencies mDependencies;
    private final TargetClients mClients;
    private final AbandonedAttempts mAbandonedAttempts = new AbandonedAttempts();
    private final BodyBudget mBodyBudget = new BodyBudget();
    private final LogLimiter mLogLimiter = new LogLimiter();
    private final RetryBudget mRetryBudget = new RetryBudget();
    private final AtomicReference<FleetView> mView = new AtomicReference<>();
    private final AuthenticateFilter mAuthenticate;
    private final ClassifyFilter mClassify;
    private final AdmitFilter mAdmit;
    private final SelectFilter mSelect;
    private final DispatchFilter mDispatch;
    private final RespondFilter mRespond;
    private final OnDemandTimer mStartTimer;
    private final Runnable mOnQueued;

    /**
     * Creates the filter chain.
     *
     * @param onQueued called on any thread when a request can't start at once
     * @param clients closed with this service
     */
    CallerService(EntryDependencies dependencies, Runnable onQueued, TargetClients clients) {
        mDependencies = dependencies;
        mOnQueued = onQueued;
        mClients = clients;
        mStartTimer =
                new OnDemandTimer(
                        CommonPools.workerGroup().next(),
                        START_INTERVAL_MILLIS,
                        this::startQueued,
                        this::hasQueued);
        mAuthenticate = new AuthenticateFilter(dependencies.metrics());
        mClassify = new ClassifyFilter(dependencies.metrics(), dependencies.random());
        mSelect = new SelectFilter(dependencies);
        mRespond = new RespondFilter(dependencies, mLogLimiter);
        mAdmit = new AdmitFilter(dependencies, this::view, mSelect, mRespond, new QueueListener());
        mDispatch =
                new DispatchFilter(
                        dependencies,
                        this::view,
                        mClients,
                        mAbandonedAttempts,
                        new DispatchFilter.Filters(mAuthenticate, mSelect, mAdmit, mRespond));
    }

    /** Continues requests that leave a queue on their event loops. */
    private final class QueueListener implements PoolDispatcher.Listener {
        @Override
        public void onWaiting() {
            mStartTimer.arm();
            mOnQueued.run();
        }

        @Override
        public void onSelected(QueuedRequest<Exchange> request, Selection selection) {
            request.attachment().execute(() -> mDispatch.begin(request, selection));
        }

        @Override
        public void onExpired(QueuedRequest<Exchange> request) {
            Exchange exchange = request.attachment();
            exchange.execute(
                    () -> {
                        if (!exchange.ended()) {
                            mDispatch.onDeadline(exchange);
                        }
                    });
        }

        @Override
        public void onUnconfirmed(QueuedRequest<Exchange> request) {
            request.attachment().execute(() -> mDispatch.refuseUnconfirmed(request.attachment()));
        }
    }

    @Override
    public HttpResponse serve(ServiceRequestContext ctx, HttpRequest request) {
        long nowMillis = mDependencies.nowMillis().getAsLong();
        long nowNanos = mDependencies.nowNanos().getAsLong();
        FleetView view = view();
        Either<EntryProblem, CallerRequest> classified =
                mAuthenticate
                        .apply(ctx.pathParam("service"), request.headers(), view.state().settings())
                        .mapLeft(AuthenticateFilter.AuthenticationError::problem)
                        .flatMap(
                                caller ->
                                        mClassify
                                                .apply(
                                                        request.headers(),
                                                        caller,
                                                        targetPath(request.path()),
                                                        nowMillis,
                                                        nowNanos)
                                                .mapLeft(
                                                        ClassifyFilter.ClassificationError
                                                                ::problem));
        if (classified.isLeft()) {
            return refuse(classified.getLeft());
        }
        Optional<AdmissionProblem> refusal =
                mAdmit.checkBeforeBody(classified.get(), view, nowNanos);
        if (refusal.isPresent()) {
            return refuse(refusal.get().problem());
        }
        if (!mDependencies.drain().tryEnter(nowMillis)) {
            return refuse(AdmissionProblem.DRAINING.problem());
        }
        return start(ctx, request, classified.get(), nowNanos);
    }

    /**
     * Starts the queued requests that can start now. To be called when rights arrive; while
     * requests are queued, this service also calls it at short intervals.
     */
    public void startQueued() {
        mAdmit.startQueued();
    }

    /** Returns whether a request is queued in any pool. */
    public boolean hasQueued() {
        return mAdmit.hasQueued();
    }

    /** Returns the numbers of running and queued requests by pool and team. */
    public Map<String, Map<String, TeamRequestCounts>> demand() {
        return mAdmit.demand();
    }

    /** Returns the registry of unresolved attempts, which needs the usage reports of hosts. */
    public AbandonedAttempts abandonedAttempts() {
        return mAbandonedAttempts;
    }

    /** Closes the connections to targets. */
    @Override
    public void close() {
        mStartTimer.close();
        mClients.close();
    }

    private HttpResponse start(
            ServiceRequestContext ctx, HttpRequest request, CallerRequest classified, long now) {
        HttpResponseWriter writer = HttpResponse.streaming();
        Exchange exchange =
                new Exchange(
                        ctx.eventLoop().withoutContext(),
                        classified,
                        new RequestAttempts(classified.idempotent(), mRetryBudget),
                        writer,
                        now);
        exchange.schedule(exchange.remainingMillis(now), () -> mDispatch.onDeadline(exchange));
        var unusedEnd =
                writer.whenComplete()
                        .whenComplete(
                                (done, disconnected) -> {
                                    mDependencies.drain().leave();
                                    exchange.execute(() -> mDispatch.onCallerGone(exchange));
                                });
        ctx.setMaxRequestLength(classified.service().maxBodyBytes());
        var unusedBody =
                request.aggregate()
                        .whenComplete(
                                (body, failure) ->
                                        exchange.execute(() -> onBody(exchange, body, failure)));
        return writer;
    }

    private void onBody(Exchange exchange, AggregatedHttpRequest body, Throwable failure) {
        if (exchange.ended()) {
            return;
        }
        if (failure instanceof ContentTooLargeException) {
            mRespond.reject(
                    exchange, ClassifyFilter.bodyTooLarge(exchange.request().caller()).problem());
        } else if (failure != null) {
            mDispatch.onCallerGone(exchange);
        } else {
            admit(exchange, body);
        }
    }

    private void admit(Exchange exchange, AggregatedHttpRequest body) {
        int bytes = body.content().length();
        if (!mBodyBudget.tryReserve(bytes)) {
            mRespond.reject(exchange, AdmissionProblem.BODY_MEMORY_FULL.problem());
            return;
        }
        exchange.setBody(body, () -> mBodyBudget.release(bytes));
        mAdmit.admit(exchange);
    }

    private HttpResponse refuse(EntryProblem problem) {
        if (mLogLimiter.tryLog(mDependencies.nowNanos().getAsLong())) {
            Logger.info(
                    "entry: rejected before the body was read. outcome={} reason={} unlogged={}",
                    problem.outcome().headerValue(),
                    problem.reason(),
                    mLogLimiter.takeSuppressed());
        }
        return Problems.response(problem);
    }

    @SuppressWarnings("ReferenceEquality") // States are immutable; equals() would be costly.
    private FleetView view() {
        VersionedState state = mDependencies.state().get();
        FleetView held = mView.get();
        if (held != null && held.state() == state) {
            return held;
        }
        FleetView view = FleetView.of(state);
        mView.set(view);
        mSelect.retain(view);
        mClients.retain(state.settings().hosts().values());
        return view;
    }

    /** Returns the hosts that are ejected because of the outcomes of this daemon's attempts. */
    public Set<String> ejectedHosts() {
        return mSelect.ejectedHosts();
    }

    /** Returns this daemon's own observations of a host. */
    public HostHealthReport healthReport(String pool, String host) {
        return mSelect.healthReport(pool, host);
    }

    /**
     * Sets the hosts that other daemons have ejected as suspects.
     *
     * @param suspects hosts of all pools, those with the most evidence first
     */
    public void setSuspects(List<String> suspects) {
        mSelect.setSuspects(view(), suspects);
    }

    /** Returns the path and query after the service name, as the caller encoded them. */
    private static String targetPath(String path) {
        int slash = path.indexOf('/', PATH_PREFIX.length());
        return slash < 0 ? "/" : path.substring(slash);
    }
}

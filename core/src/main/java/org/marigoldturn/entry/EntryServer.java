package org.marigoldturn.entry;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.ServerBuilder;
import org.marigoldturn.settings.VersionedState;

/** The caller port: routes, limits and health checks around a {@link CallerService}. */
public final class EntryServer implements AutoCloseable {
    static final int MAX_HEADER_BYTES = 16_384;
    static final int MAX_REQUEST_LINE_BYTES = 8_192;
    static final long IDLE_TIMEOUT_MILLIS = 60_000;

    private final EntryDependencies mDependencies;
    private final CallerService mService;

    /**
     * Creates the caller port's services.
     *
     * @param onQueued called on any thread when a request could not start at once
     */
    public EntryServer(EntryDependencies dependencies, Runnable onQueued) {
        mDependencies = dependencies;
        mService = new CallerService(dependencies, onQueued);
    }

    /** Adds routes and limits to a server. */
    public void register(ServerBuilder server) {
        server.http1MaxHeaderSize(MAX_HEADER_BYTES)
                .http2MaxHeaderListSize(MAX_HEADER_BYTES)
                .http1MaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .idleTimeoutMillis(IDLE_TIMEOUT_MILLIS)
                // Each request has its own deadline and its service's own body limit.
                .requestTimeoutMillis(0)
                .maxRequestLength(0)
                .disableServerHeader()
                .errorHandler(new ProblemErrorHandler())
                .service("/health/live", (ctx, req) -> HttpResponse.of(HttpStatus.OK))
                .service("/health/ready", (ctx, req) -> ready())
                .service("/services/{service}/{*rest}", mService);
    }

    /** Returns the service, for demand reports, usage reports and arriving rights. */
    public CallerService callers() {
        return mService;
    }

    /** Returns whether the load balancer may send requests. */
    public boolean isReady() {
        return mDependencies.drain().isReady()
                && mDependencies.state().get().version() > VersionedState.INITIAL.version()
                && mDependencies.gate().mayServe(mDependencies.nowNanos().getAsLong());
    }

    @Override
    public void close() {
        mService.close();
    }

    private HttpResponse ready() {
        return HttpResponse.of(isReady() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE);
    }
}

package org.marigoldturn.entry;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.ServerBuilder;
import java.security.cert.X509Certificate;
import java.util.List;
import org.marigoldturn.clientlimits.ClientLimits;
import org.marigoldturn.settings.VersionedState;

/** Sets up the caller port: routes, limits and health checks around a {@link CallerService}. */
public final class EntryServer implements AutoCloseable {
    static final int MAX_HEADER_BYTES = ClientLimits.MAX_HEADER_BYTES;
    static final int MAX_REQUEST_LINE_BYTES = ClientLimits.MAX_REQUEST_LINE_BYTES;
    static final long IDLE_TIMEOUT_MILLIS = 60_000;

    private final EntryDependencies mDependencies;
    private final CallerService mService;

    /**
     * Creates the services of the caller port.
     *
     * @param onQueued called on any thread when a request can't start at once
     * @param targetCas certificates of the authorities that sign target certificates; empty for the
     *     defaults of the Java runtime
     */
    public EntryServer(
            EntryDependencies dependencies, Runnable onQueued, List<X509Certificate> targetCas) {
        mDependencies = dependencies;
        mService = new CallerService(dependencies, onQueued, new TargetClients(targetCas));
    }

    /** Adds routes and limits to a server. */
    public void register(ServerBuilder server) {
        server.http1MaxHeaderSize(MAX_HEADER_BYTES)
                .http2MaxHeaderListSize(MAX_HEADER_BYTES)
                .http1MaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .idleTimeoutMillis(IDLE_TIMEOUT_MILLIS)
                // CallerService applies the request's deadline and the service's body limit.
                .requestTimeoutMillis(0)
                .maxRequestLength(0)
                .disableServerHeader()
                .errorHandler(new ProblemErrorHandler())
                .service("/health/live", (ctx, req) -> HttpResponse.of(HttpStatus.OK))
                .service("/health/ready", (ctx, req) -> ready())
                .service("/services/{service}/{*rest}", mService);
    }

    /**
     * Returns the service, so that the daemon can read its demand, pass it usage reports and notify
     * it of arriving rights.
     */
    public CallerService callerService() {
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

package org.marigoldturn.operator;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.server.Server;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.membership.AcceptanceResult;
import org.marigoldturn.settings.ChangeResult;
import org.marigoldturn.settings.FleetSettings;

/** Operator service on a real HTTP server, with fakes for commit and acceptance. */
public final class TestOperator implements AutoCloseable {
    public static final String TOKEN = "operator-secret";

    public final FakeCommitter mCommitter;
    public final RingDecisionLog mDecisions = new RingDecisionLog(8);
    public volatile AcceptanceResult mAcceptance = new AcceptanceResult(true, List.of());

    public volatile Set<String> mFailedHosts = Set.of();

    private final Server mServer;

    /** Starts a server. */
    public TestOperator(FleetSettings settings) {
        mCommitter = new FakeCommitter(settings);
        MetricRegistry metrics = new MetricRegistry();
        metrics.counter("requests").inc(7);
        OperatorParts parts =
                new OperatorParts(
                        TOKEN,
                        mCommitter::state,
                        mCommitter,
                        (version, timeout) -> CompletableFuture.completedFuture(mAcceptance),
                        limit ->
                                CompletableFuture.completedFuture(
                                        List.of(mCommitter.state().manifest())),
                        () ->
                                CompletableFuture.completedFuture(
                                        FleetStatusBuilder.of(
                                                "d1",
                                                mCommitter.state(),
                                                Set.of(),
                                                true,
                                                List.of(),
                                                List.of())),
                        () -> mFailedHosts,
                        mDecisions,
                        (id, changeId, author) ->
                                CompletableFuture.completedFuture(
                                        new ChangeResult.Invalid(List.of())),
                        metrics,
                        () -> 1_000);
        var builder =
                Server.builder().http(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        new OperatorService(parts).register(builder);
        mServer = builder.build();
        mServer.start().join();
    }

    /** Returns the base URI. */
    public String uri() {
        return "http://127.0.0.1:" + mServer.activeLocalPort();
    }

    @Override
    public void close() {
        // The port closes at once; waiting for the event loops to end would take 2 s per test.
        CompletableFuture<?> unused = mServer.closeAsync();
    }
}

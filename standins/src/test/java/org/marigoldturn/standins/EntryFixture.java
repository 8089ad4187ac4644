package org.marigoldturn.standins;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import org.marigoldturn.admission.KeyAuthenticator;
import org.marigoldturn.entry.DrainState;
import org.marigoldturn.entry.EntryDependencies;
import org.marigoldturn.entry.EntryServer;
import org.marigoldturn.routing.LocalClaimRegistry;
import org.marigoldturn.routing.RequestClaims;
import org.marigoldturn.settings.FleetSettings;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.HostState;
import org.marigoldturn.settings.Manifest;
import org.marigoldturn.settings.MemberSet;
import org.marigoldturn.settings.PoolSettings;
import org.marigoldturn.settings.RightsDivision;
import org.marigoldturn.settings.ServiceSettings;
import org.marigoldturn.settings.TargetProtocol;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.settings.VersionedState;
import org.marigoldturn.settings.ZoneSettings;
import org.marigoldturn.settings.ZoneState;

/** Runs a real caller port with stand-ins for the targets and fakes for the other packages. */
final class EntryFixture implements AutoCloseable {
    static final int SLOTS = 8;
    static final int TEAM_LIMIT = 100;
    static final long DRAIN_DELAY_MILLIS = 300;
    static final long DEFAULT_DEADLINE_MILLIS = 2_000;
    static final long MAX_BODY_BYTES = 200_000;

    final List<TargetServer> mTargets = new ArrayList<>();
    final CountedRights mRights = new CountedRights();
    final DrainState mDrain = new DrainState(DRAIN_DELAY_MILLIS);
    final EntryServer mEntry;
    private final Server mServer;
    private final ClientFactory mClientFactory = ClientFactory.builder().build();
    private final ExecutorService mCloseExecutor = Executors.newCachedThreadPool();
    private final WebClient mClient;
    private final String mKey;
    private volatile VersionedState mState;
    private volatile boolean mConfirmed = true;

    EntryFixture(int hosts, TargetProtocol protocol) {
        KeyAuthenticator.IssuedKey key =
                new KeyAuthenticator().issue("club", "k1", new SecureRandom(), 0);
        mKey = key.presentedKey();
        Map<String, HostSettings> settings = new HashMap<>();
        for (int i = 0; i < hosts; i++) {
            TargetServer target = new TargetServer("h" + i, SLOTS, 0);
            mTargets.add(target);
            settings.put("h" + i, host("h" + i, target.start()));
            mRights.setLimit("host:h" + i, SLOTS);
        }
        mRights.setLimit("team:club", TEAM_LIMIT);
        mState = state(1, settings, protocol, List.of(key.stored()));
        mEntry = new EntryServer(dependencies(), () -> {}, List.of());
        ServerBuilder builder = Server.builder().http(StoreServer.loopback(0));
        mEntry.register(builder);
        mServer = builder.build();
        mServer.start().join();
        mClient = newClient(mClientFactory);
    }

    WebClient newClient(ClientFactory factory) {
        return WebClient.builder("h2c://127.0.0.1:" + mServer.activeLocalPort())
                .factory(factory)
                .maxResponseLength(0)
                .build();
    }

    private EntryDependencies dependencies() {
        RequestClaims claims = new RequestClaims("d0");
        claims.onMembersAdopted(1, List.of("d0"));
        claims.onMembersAccepted(1, System.currentTimeMillis() - 60_000);
        return new EntryDependencies(
                "d0",
                () -> mState,
                nowNanos -> mConfirmed,
                mRights,
                (pool, team) -> OptionalInt.empty(),
                new LocalClaimRegistry("d0", claims, System::currentTimeMillis),
                host -> false,
                mDrain,
                (requestId, step, detail) -> {},
                new MetricRegistry(),
                System::currentTimeMillis,
                System::nanoTime,
                () -> ThreadLocalRandom.current().nextLong());
    }

    static HostSettings host(String name, int port) {
        return new HostSettings(
                name,
                "desk",
                "z0",
                "rack0",
                "127.0.0.1",
                port,
                SLOTS,
                64,
                32,
                131_072,
                0,
                HostState.IN_SERVICE,
                0);
    }

    private static VersionedState state(
            long version,
            Map<String, HostSettings> hosts,
            TargetProtocol protocol,
            List<org.marigoldturn.settings.TeamKey> keys) {
        ServiceSettings service =
                new ServiceSettings(
                        "entries",
                        "desk",
                        false,
                        protocol,
                        0,
                        50,
                        DEFAULT_DEADLINE_MILLIS,
                        MAX_BODY_BYTES,
                        List.of(503));
        FleetSettings settings =
                new FleetSettings(
                        Map.of("z0", new ZoneSettings("z0", "r1", ZoneState.IN_SERVICE, 0)),
                        Map.of("desk", new PoolSettings("desk", false)),
                        Map.of("entries", service),
                        Map.of("club", new TeamSettings("club", 1, TEAM_LIMIT, keys)),
                        hosts);
        Manifest initial = Manifest.INITIAL;
        Manifest manifest =
                new Manifest(version, "c" + version, "test", initial.committedAtMillis(), Map.of());
        return new VersionedState(manifest, settings, MemberSet.EMPTY, RightsDivision.EMPTY);
    }

    /** Makes the port of a host refuse connections. */
    void stopTarget(int index) {
        mTargets.get(index).close();
    }

    /** Changes the port of host h0 in the settings. */
    void setPort(int port) {
        Map<String, HostSettings> hosts = new HashMap<>(mState.settings().hosts());
        hosts.put("h0", host("h0", port));
        mState =
                state(
                        mState.version() + 1,
                        hosts,
                        mState.settings().services().get("entries").protocol(),
                        mState.settings().teams().get("club").keys());
    }

    void setConfirmed(boolean confirmed) {
        mConfirmed = confirmed;
    }

    /** Applies settings without any key of the team. */
    void revokeKeys() {
        mState =
                state(
                        mState.version() + 1,
                        mState.settings().hosts(),
                        mState.settings().services().get("entries").protocol(),
                        List.of());
    }

    String key() {
        return mKey;
    }

    int port() {
        return mServer.activeLocalPort();
    }

    WebClient client() {
        return mClient;
    }

    RequestHeadersBuilder headers(HttpMethod method) {
        return RequestHeaders.builder(method, "/services/entries/echo")
                .set("marigoldturn-key", mKey);
    }

    CompletableFuture<AggregatedHttpResponse> send(RequestHeadersBuilder headers, String body) {
        return mClient.execute(HttpRequest.of(headers.build(), HttpData.ofUtf8(body))).aggregate();
    }

    /** Sends a request over HTTP/1.1, where only a closed connection shows a truncated response. */
    CompletableFuture<AggregatedHttpResponse> sendHttp1(
            RequestHeadersBuilder headers, String body) {
        return WebClient.builder("h1c://127.0.0.1:" + mServer.activeLocalPort())
                .factory(mClientFactory)
                .build()
                .execute(HttpRequest.of(headers.build(), HttpData.ofUtf8(body)))
                .aggregate();
    }

    /** Returns the runs of a request id on all hosts. */
    List<TargetRecords.Run> runs(String requestId) {
        return mTargets.stream()
                .flatMap(target -> target.records().runs().stream())
                .filter(run -> run.requestId().equals(requestId))
                .toList();
    }

    int runs() {
        return mTargets.stream().mapToInt(target -> target.records().runs().size()).sum();
    }

    int queued() {
        return mEntry.callerService().demand().values().stream()
                .flatMap(teams -> teams.values().stream())
                .mapToInt(demand -> demand.queued())
                .sum();
    }

    static void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + 5_000_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition not met within 5 s: " + what);
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new AssertionError("interrupted", e);
            }
        }
    }

    /** Delivers a usage report of each host, dated 10 s ahead, that lists no running request. */
    void reportNothingRuns() {
        long later = System.currentTimeMillis() + 10_000;
        for (int i = 0; i < mTargets.size(); i++) {
            mEntry.callerService().abandonedAttempts().onUsageReport("h" + i, later, Set.of());
        }
    }

    /** Waits until all rights are released; fails if one is lost. */
    void awaitAllRightsReleased() {
        await("all rights released", () -> mRights.acquired() == 0);
    }

    @Override
    public void close() {
        mTargets.forEach(target -> target.setFault(TargetFault.NONE, 0));
        // Not awaited: the event loops take 2 s to end, which would add up over the tests.
        var unusedServer = mServer.stop();
        var unusedClient = mClientFactory.closeAsync();
        mCloseExecutor.execute(mEntry::close);
        mTargets.forEach(target -> mCloseExecutor.execute(target::close));
        mCloseExecutor.shutdown();
    }
}

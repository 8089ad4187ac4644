package org.marigoldturn.daemon;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.marigoldturn.entry.DrainState;
import org.marigoldturn.entry.EntryDependencies;
import org.marigoldturn.entry.EntryServer;
import org.marigoldturn.operator.OperatorService;
import org.marigoldturn.platform.Compare;
import org.marigoldturn.platform.EtcdJsonStore;
import org.marigoldturn.platform.KeyValueStore;
import org.marigoldturn.routing.LocalClaimRegistry;
import org.marigoldturn.routing.RequestClaims;
import org.marigoldturn.settings.LoadedState;
import org.marigoldturn.settings.SettingsRepository;
import org.marigoldturn.settings.VersionedState;
import org.tinylog.Logger;

/**
 * One entry daemon: builds the parts and connects them.
 *
 * <p>The control thread is the only writer of the published state.
 */
public final class EntryDaemon implements AutoCloseable {
    private static final long DRAIN_DELAY_MILLIS = 5_000;
    private static final long REFRESH_INTERVAL_MILLIS = 500;

    private final EntryConfig mConfig;
    private final KeyValueStore mStore;
    private final SettingsRepository mRepository;
    private final java.util.concurrent.ScheduledExecutorService mControl =
            Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "control"));
    private final EntryServer mEntry;
    private final Server mCallerServer;
    private final Server mOperatorServer;
    private volatile LoadedState mLoaded =
            new LoadedState(VersionedState.INITIAL, Map.of(), Compare.ABSENT);

    /** Creates a daemon that does not run yet. */
    public EntryDaemon(EntryConfig config) {
        mConfig = config;
        mStore = new EtcdJsonStore(config.storeEndpoint(), config.storeTimeoutMillis());
        mRepository = new SettingsRepository(mStore, config.storePrefix());
        String id = config.name() + "-" + HexFormat.of().toHexDigits(new SecureRandom().nextInt());
        mEntry = new EntryServer(entryDependencies(id));
        ServerBuilder callers = builder(config.callerPort());
        mEntry.register(callers);
        mCallerServer = callers.build();
        ServerBuilder operators = builder(config.operatorPort());
        new OperatorService(mRepository, () -> mLoaded, System::currentTimeMillis)
                .register(operators);
        mOperatorServer = operators.build();
    }

    /** Starts the daemon and prints its ports on one line. */
    public void start() {
        mCallerServer.start().join();
        mOperatorServer.start().join();
        var unused =
                mControl.scheduleWithFixedDelay(
                        this::refresh, 0, REFRESH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        System.out.printf(
                "ready callers=%d operators=%d%n",
                mCallerServer.activeLocalPort(), mOperatorServer.activeLocalPort());
    }

    @Override
    public void close() {
        mControl.shutdownNow();
        mCallerServer.stop().join();
        mOperatorServer.stop().join();
        mEntry.close();
        mStore.close();
    }

    /** Local implementations of the parts that need other daemons. */
    private EntryDependencies entryDependencies(String id) {
        RequestClaims claims = new RequestClaims(id);
        claims.onMembersAccepted(List.of(id), System.currentTimeMillis());
        return new EntryDependencies(
                id,
                () -> mLoaded.state(),
                nowNanos -> true,
                new UnlimitedRights(),
                (pool, team) -> OptionalInt.empty(),
                new LocalClaimRegistry(id, claims, System::currentTimeMillis),
                host -> false,
                new DrainState(DRAIN_DELAY_MILLIS),
                new MetricRegistry(),
                System::currentTimeMillis,
                System::nanoTime,
                () -> ThreadLocalRandom.current().nextLong());
    }

    private ServerBuilder builder(int port) {
        return Server.builder().http(new InetSocketAddress(mConfig.address(), port));
    }

    private void refresh() {
        try {
            LoadedState loaded = mRepository.load(mLoaded.contents()).join();
            if (loaded.state().version() > mLoaded.state().version()) {
                mLoaded = loaded;
                Logger.info("settings: adopted version {}.", loaded.state().version());
            }
        } catch (RuntimeException e) {
            Logger.warn("settings: cannot read the store: {}", e.getMessage());
        }
    }
}

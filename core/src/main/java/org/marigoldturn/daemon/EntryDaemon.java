package org.marigoldturn.daemon;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Map;
import org.marigoldturn.admission.KeyAuthenticator;
import org.marigoldturn.entry.CallerService;
import org.marigoldturn.operator.OperatorService;
import org.marigoldturn.platform.Compare;
import org.marigoldturn.platform.EtcdJsonStore;
import org.marigoldturn.platform.KeyValueStore;
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
    private static final long REFRESH_INTERVAL_MILLIS = 500;

    private final EntryConfig mConfig;
    private final KeyValueStore mStore;
    private final SettingsRepository mRepository;
    private final ControlLoop mControl = new ControlLoop();
    private final ClientFactory mClientFactory = ClientFactory.builder().build();
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
        CallerService callers =
                new CallerService(
                        () -> mLoaded.state(), new KeyAuthenticator(), mClientFactory, id);
        mCallerServer =
                builder(config.callerPort())
                        .service("/services/{service}/{*rest}", callers)
                        .build();
        ServerBuilder operators = builder(config.operatorPort());
        new OperatorService(mRepository, () -> mLoaded, System::currentTimeMillis)
                .register(operators);
        mOperatorServer = operators.build();
    }

    /** Starts the daemon and prints its ports on one line. */
    public void start() {
        mCallerServer.start().join();
        mOperatorServer.start().join();
        mControl.every("refresh", REFRESH_INTERVAL_MILLIS, this::refresh);
        System.out.printf(
                "ready callers=%d operators=%d%n",
                mCallerServer.activeLocalPort(), mOperatorServer.activeLocalPort());
    }

    @Override
    public void close() {
        mControl.close();
        mCallerServer.stop().join();
        mOperatorServer.stop().join();
        mClientFactory.close();
        mStore.close();
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

package org.marigoldturn.entry;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryBuilder;
import com.linecorp.armeria.client.WebClient;
import java.security.cert.X509Certificate;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.marigoldturn.settings.HostSettings;
import org.marigoldturn.settings.TargetProtocol;

/**
 * Creates and keeps one HTTP client for each target address and protocol. Thread safe.
 *
 * <p>With HTTP/2 a daemon uses one connection for each host. With HTTP/1.1 it uses one for each
 * running request; the target selector limits their number.
 */
public final class TargetClients implements AutoCloseable {
    static final long PING_INTERVAL_MILLIS = 5_000;
    static final long IDLE_TIMEOUT_MILLIS = 10_000;
    static final long MAX_CONNECTION_AGE_MILLIS = 300_000;
    static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    private record Key(String address, int port, TargetProtocol protocol) {}

    private final ClientFactory mFactory;
    private final Map<Key, WebClient> mClients = new ConcurrentHashMap<>();

    /**
     * Creates the clients with their own connections.
     *
     * @param targetCas certificates of the authorities that sign target certificates; empty for the
     *     defaults of the Java runtime
     */
    public TargetClients(List<X509Certificate> targetCas) {
        ClientFactoryBuilder builder = ClientFactory.builder();
        if (!targetCas.isEmpty()) {
            builder.tlsCustomizer(tls -> tls.trustManager(targetCas));
        }
        mFactory =
                builder.connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
                        .pingIntervalMillis(PING_INTERVAL_MILLIS)
                        .idleTimeoutMillis(IDLE_TIMEOUT_MILLIS)
                        .maxConnectionAgeMillis(MAX_CONNECTION_AGE_MILLIS)
                        .maxNumEventLoopsPerEndpoint(1)
                        .build();
    }

    /** Returns the client for a host. */
    WebClient client(HostSettings host, TargetProtocol protocol) {
        return mClients.computeIfAbsent(
                new Key(host.address(), host.port(), protocol), this::create);
    }

    /** Removes the clients of addresses that are not those of the given hosts. */
    void retain(Collection<HostSettings> hosts) {
        var addresses =
                hosts.stream()
                        .map(host -> host.address() + ":" + host.port())
                        .collect(Collectors.toSet());
        mClients.keySet().removeIf(key -> !addresses.contains(key.address() + ":" + key.port()));
    }

    @Override
    public void close() {
        mFactory.close();
    }

    private WebClient create(Key key) {
        String scheme = key.protocol().uriScheme();
        // The filter chain enforces the deadline of the request and continues to read late
        // responses, so the client has no time limit and no length limit of its own.
        String address = key.address().contains(":") ? "[" + key.address() + "]" : key.address();
        return WebClient.builder("%s://%s:%d".formatted(scheme, address, key.port()))
                .factory(mFactory)
                .responseTimeoutMillis(0)
                .writeTimeoutMillis(0)
                .maxResponseLength(0)
                .build();
    }
}

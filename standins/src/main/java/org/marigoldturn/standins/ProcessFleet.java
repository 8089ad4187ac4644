package org.marigoldturn.standins;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.TlsKeyPair;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.marigoldturn.admission.KeyAuthenticator;
import org.marigoldturn.admission.KeyAuthenticator.IssuedKey;

/**
 * A small fleet for tests and measurements: the store and the hosts run in this process, each entry
 * daemon is a process of its own.
 *
 * <p>Not thread safe, except for {@link #call}.
 */
public final class ProcessFleet implements AutoCloseable {
    /** Credential of operators. */
    public static final String OPERATOR_TOKEN = "operator-token";

    private static final String MAIN = "org.marigoldturn.cli.Main";

    private static final long HOST_LIST_INTERVAL_MILLIS = 500;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path mDirectory;
    private final StoreServer mStore = new StoreServer(0);
    private final int mStorePort;
    private final Map<String, TargetServer> mHosts = new ConcurrentHashMap<>();
    private final Map<String, String> mHostStates = new ConcurrentHashMap<>();
    private final List<ChildProcess> mDaemons = new ArrayList<>();
    private final Map<String, IssuedKey> mKeys = new HashMap<>();
    private final ClientFactory mClients =
            ClientFactory.builder().connectTimeoutMillis(2_000).build();

    private final ScheduledExecutorService mHostListTimer =
            Executors.newSingleThreadScheduledExecutor();

    /** Starts the store, and publishes the hosts of this fleet in its host list every 500 ms. */
    public ProcessFleet(String name) throws IOException {
        mDirectory = Files.createTempDirectory("marigoldturn-" + name);
        mStorePort = mStore.start();
        var unused =
                mHostListTimer.scheduleWithFixedDelay(
                        this::publishHosts,
                        HOST_LIST_INTERVAL_MILLIS,
                        HOST_LIST_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Returns the store stand-in. */
    public StoreServer store() {
        return mStore;
    }

    /** Returns the port of the store. */
    public int storePort() {
        return mStorePort;
    }

    /** Returns the directory with logs and configuration files. */
    public Path directory() {
        return mDirectory;
    }

    /** Starts a host and returns its port. */
    public int startHost(String name, int slots) {
        return startHost(name, slots, Optional.empty());
    }

    /** Starts a host that serves TLS only if a key pair is given, and returns its port. */
    public int startHost(String name, int slots, Optional<TlsKeyPair> tls) {
        TargetServer host = new TargetServer(name, slots, 0, tls);
        mHosts.put(name, host);
        return host.start();
    }

    /** Returns a host by name. */
    public TargetServer host(String name) {
        return mHosts.get(name);
    }

    /**
     * Sets the state of a host in the host list: {@code live}, {@code leaving} or {@code ended}.
     */
    public void setHostState(String host, String state) {
        mHostStates.put(host, state);
    }

    /** Returns all hosts by name. */
    public Map<String, TargetServer> hosts() {
        return Map.copyOf(mHosts);
    }

    /** Issues a key for a team, which {@link #call} presents for the team. */
    public IssuedKey issueKey(String team) {
        IssuedKey key =
                new KeyAuthenticator()
                        .issue(team, "k1", new SecureRandom(), System.currentTimeMillis());
        mKeys.put(team, key);
        return key;
    }

    /** Starts an entry daemon and returns its index. */
    public int startDaemon() throws IOException {
        return startDaemon("");
    }

    /** Starts an entry daemon with additional lines in its configuration and returns its index. */
    public int startDaemon(String additionalConfig) throws IOException {
        int index = mDaemons.size();
        mDaemons.add(launch(index, additionalConfig));
        return index;
    }

    private ChildProcess launch(int index, String additionalConfig) {
        Path config = mDirectory.resolve("entry-" + index + ".yaml");
        String text =
                """
                name: entry-%d
                zone: z%d
                address: 127.0.0.1
                storeEndpoint: http://127.0.0.1:%d
                storeTimeoutMillis: 500
                operatorToken: %s
                peerToken: peer-token
                plaintext: true
                drainDelayMillis: 500
                plannerIntervalMillis: 1000
                """
                        .formatted(index, index % 3, mStorePort, OPERATOR_TOKEN);
        Path log = mDirectory.resolve("entry-" + index + ".log");
        try {
            Files.writeString(config, text + additionalConfig);
            return ChildProcess.start(log, MAIN, "entry", "--config", config.toString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts several daemons at the same time. */
    public void startDaemons(int count) throws IOException {
        startDaemons(Collections.nCopies(count, ""));
    }

    /** Starts several daemons at the same time, each with additional lines in its configuration. */
    public void startDaemons(List<String> additionalConfigs) throws IOException {
        int first = mDaemons.size();
        List<CompletableFuture<ChildProcess>> launches = new ArrayList<>();
        for (int i = 0; i < additionalConfigs.size(); i++) {
            int index = first + i;
            String additionalConfig = additionalConfigs.get(i);
            launches.add(CompletableFuture.supplyAsync(() -> launch(index, additionalConfig)));
        }
        launches.forEach(launch -> mDaemons.add(launch.join()));
    }

    /** Returns the process of a daemon. */
    public ChildProcess daemon(int index) {
        return mDaemons.get(index);
    }

    /** Returns the number of daemons ever started. */
    public int daemonCount() {
        return mDaemons.size();
    }

    /** Sends a request of a team to a service through a daemon. */
    public CompletableFuture<AggregatedHttpResponse> call(
            int daemon, String team, String service, String body, Map<String, String> headers) {
        RequestHeadersBuilder builder =
                RequestHeaders.builder(HttpMethod.POST, "/services/" + service + "/run")
                        .add("marigoldturn-key", mKeys.get(team).presentedKey());
        headers.forEach(builder::set);
        return client("callers", daemon)
                .execute(HttpRequest.of(builder.build(), HttpData.ofUtf8(body)))
                .aggregate();
    }

    /** Sends a request to the operator port of a daemon. */
    public AggregatedHttpResponse callOperatorPort(
            int daemon, HttpMethod method, String path, String body) {
        RequestHeaders headers =
                RequestHeaders.builder(method, path)
                        .add("authorization", "Bearer " + OPERATOR_TOKEN)
                        .build();
        return client("operators", daemon)
                .execute(HttpRequest.of(headers, HttpData.ofUtf8(body)))
                .aggregate()
                .join();
    }

    /** Returns the records of the requests that all hosts ran. */
    public List<TargetRecords.Run> records() {
        List<TargetRecords.Run> records = new ArrayList<>();
        mHosts.values().forEach(host -> records.addAll(host.records().runs()));
        return records;
    }

    /** Returns whether a daemon's readiness check succeeds; false if it does not respond. */
    public boolean isReady(int daemon) {
        try {
            return client("callers", daemon).get("/health/ready").aggregate().join().status().code()
                    == 200;
        } catch (CompletionException e) {
            return false;
        }
    }

    /**
     * Returns whether a daemon responds at its operator port; false also if it does not run for so
     * long that no session with it can be opened.
     */
    public boolean respondsToOperators(int daemon) {
        try {
            return callOperatorPort(daemon, HttpMethod.GET, "/v1/daemons", "").status().code()
                    == 200;
        } catch (CompletionException e) {
            return false;
        }
    }

    /** Closes the connections of this fleet's clients; no request can be sent afterwards. */
    public void closeClients() {
        mClients.close();
    }

    @Override
    public void close() {
        mHostListTimer.shutdownNow();
        mDaemons.parallelStream().forEach(ChildProcess::kill);
        // Stops the servers in parallel, since each takes about 2 s to end its threads.
        List<Runnable> servers = new ArrayList<>(List.of(mStore::close, mClients::close));
        mHosts.values().forEach(host -> servers.add(host::close));
        servers.parallelStream().forEach(Runnable::run);
    }

    private void publishHosts() {
        ObjectNode list = JSON.createObjectNode();
        ArrayNode hosts = list.putArray("hosts");
        mHosts.forEach(
                (name, host) -> {
                    ObjectNode report =
                            hosts.addObject()
                                    .put("name", name)
                                    .put("state", mHostStates.getOrDefault(name, "live"));
                    ObjectNode running = report.putObject("running");
                    host.usage().forEach((owner, ids) -> running.put(owner, ids.size()));
                });
        try {
            mStore.putHosts(list.toString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private WebClient client(String port, int daemon) {
        return WebClient.builder("http://127.0.0.1:" + mDaemons.get(daemon).port(port))
                .factory(mClients)
                .responseTimeoutMillis(120_000)
                .maxResponseLength(16L << 20)
                .build();
    }
}

package org.marigoldturn.standins.measure;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marigoldturn.admission.KeyAuthenticator.IssuedKey;
import org.marigoldturn.standins.FleetYaml;
import org.marigoldturn.standins.ProcessFleet;

/** A fleet of processes with settings in force, and clients for it. Thread safe once started. */
final class MeasuredFleet implements AutoCloseable {
    static final String SERVICE = "entries";
    private static final long START_TIMEOUT_MILLIS = 60_000;
    private static final long POLL_INTERVAL_MILLIS = 50;

    private final ProcessFleet mFleet;
    private final FleetYaml mYaml = new FleetYaml();
    private final Map<String, IssuedKey> mKeys = new HashMap<>();
    private final List<WebClient> mCallers = new ArrayList<>();
    private final List<WebClient> mOperators = new ArrayList<>();

    MeasuredFleet(String name) throws IOException {
        mFleet = new ProcessFleet(name);
        for (int zone = 0; zone < 3; zone++) {
            mYaml.zone("z" + zone);
        }
    }

    ProcessFleet processes() {
        return mFleet;
    }

    FleetYaml yaml() {
        return mYaml;
    }

    /** Adds a pool with a service of the same name. */
    MeasuredFleet service(String name) {
        mYaml.pool(name).service(name, name, "queueCapacity: 10000");
        return this;
    }

    MeasuredFleet team(String name, int limit) {
        IssuedKey key = mFleet.issueKey(name);
        mKeys.put(name, key);
        mYaml.team(name, 1, limit, key);
        return this;
    }

    /** Starts hosts of a pool, distributed over the zones. */
    MeasuredFleet hosts(String pool, int count, int slots) {
        for (int i = 0; i < count; i++) {
            String name = pool + "-h" + i;
            host(name, pool, i, mFleet.startHost(name, slots), slots);
        }
        return this;
    }

    /**
     * Adds a host to the settings. It counts as maintained now, so that no maintenance wave starts
     * during a measurement.
     */
    MeasuredFleet host(String name, String pool, int index, int port, int slots) {
        mYaml.host(name, pool, "z" + index % 3, port, slots, System.currentTimeMillis());
        return this;
    }

    /** Starts the daemons, applies the settings and waits until every daemon serves. */
    void start(int daemons, String probedService, String probedTeam)
            throws IOException, InterruptedException {
        for (int i = 0; i < daemons; i++) {
            mFleet.startDaemon();
            mCallers.add(client(i, "callers"));
            mOperators.add(client(i, "operators"));
        }
        for (int i = 0; i < daemons; i++) {
            int daemon = i;
            await(() -> members(daemon) == daemons, "daemon " + i + " to see all members");
        }
        AggregatedHttpResponse response =
                callOperatorPort(0, HttpMethod.PUT, "/v1/settings", mYaml.text());
        if (!response.status().isSuccess()) {
            throw new IllegalStateException("settings rejected: " + response.contentUtf8());
        }
        for (int i = 0; i < daemons; i++) {
            int daemon = i;
            await(
                    () -> call(daemon, probedTeam, probedService, 0) == 200,
                    "daemon " + i + " to serve");
        }
    }

    /** Sends a request and returns the status of the response. */
    int call(int daemon, String team, String service, int runMillis) {
        return send(daemon, mKeys.get(team).presentedKey(), service, runMillis)
                .aggregate()
                .join()
                .status()
                .code();
    }

    /** Sends a request of a team. */
    HttpResponse sendAs(int daemon, String team, String service, int runMillis) {
        return send(daemon, mKeys.get(team).presentedKey(), service, runMillis);
    }

    HttpResponse send(int daemon, String presentedKey, String service, int runMillis) {
        RequestHeadersBuilder headers =
                RequestHeaders.builder(HttpMethod.POST, "/services/" + service + "/run")
                        .add("marigoldturn-key", presentedKey);
        if (runMillis > 0) {
            headers.addInt("x-run-millis", runMillis);
        }
        return mCallers.get(daemon)
                .execute(HttpRequest.of(headers.build(), HttpData.ofUtf8("class 4, plot 12")));
    }

    AggregatedHttpResponse callOperatorPort(
            int daemon, HttpMethod method, String path, String body) {
        RequestHeaders headers =
                RequestHeaders.builder(method, path)
                        .add("authorization", "Bearer " + ProcessFleet.OPERATOR_TOKEN)
                        .build();
        return mOperators
                .get(daemon)
                .execute(HttpRequest.of(headers, HttpData.ofUtf8(body)))
                .aggregate()
                .join();
    }

    /**
     * Kills the daemons. The store and the hosts end with this process: each takes two seconds to
     * stop, which is minutes for the hosts of the largest fleet.
     */
    @Override
    public void close() {
        for (int i = 0; i < mFleet.daemonCount(); i++) {
            mFleet.daemon(i).kill();
        }
    }

    private WebClient client(int daemon, String port) {
        return WebClient.builder("h2c://127.0.0.1:" + mFleet.daemon(daemon).port(port))
                .responseTimeoutMillis(60_000)
                .maxResponseLength(16L << 20)
                .build();
    }

    private int members(int daemon) throws IOException {
        String body = callOperatorPort(daemon, HttpMethod.GET, "/v1/daemons", "").contentUtf8();
        return new com.fasterxml.jackson.databind.ObjectMapper().readTree(body).size();
    }

    private interface Condition {
        boolean holds() throws IOException;
    }

    private static void await(Condition condition, String what)
            throws IOException, InterruptedException {
        long end = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
        while (!condition.holds()) {
            if (System.currentTimeMillis() > end) {
                throw new IllegalStateException("timed out waiting for " + what);
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }
}

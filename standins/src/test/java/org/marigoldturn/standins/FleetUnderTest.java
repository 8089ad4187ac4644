package org.marigoldturn.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Runs three entry daemons and six hosts in three zones, and checks the hosts' records. */
final class FleetUnderTest implements AutoCloseable {
    static final int DAEMONS = 3;
    static final int HOSTS = 6;
    static final int CLUB_LIMIT = 10;

    /** Ends a test that hangs; no check depends on the value. */
    private static final long AWAIT_LIMIT_SECONDS = 90;

    /** A request of the test and its response. */
    record Sent(String requestId, CompletableFuture<AggregatedHttpResponse> response) {
        boolean isNotRun() {
            return "not-run".equals(response.join().headers().get("marigoldturn-outcome"));
        }

        int status() {
            return response.join().status().code();
        }
    }

    private final ProcessFleet mFleet;
    private final List<StallingRelay> mHostRelays = new ArrayList<>();
    private final List<StallingRelay> mPeerRelays = new ArrayList<>();

    FleetUnderTest(String name) throws Exception {
        this(name, false);
    }

    /**
     * Starts the fleet.
     *
     * @param relayed whether the daemons reach each other and the hosts through TCP relays
     */
    FleetUnderTest(String name, boolean relayed) throws Exception {
        mFleet = new ProcessFleet(name);
        FleetYaml yaml = new FleetYaml().pool("desk");
        for (int i = 0; i < DAEMONS; i++) {
            yaml.zone("z" + i);
        }
        yaml.service("entries", "desk", "defaultDeadlineMillis: 60000");
        yaml.team("club", 1, CLUB_LIMIT, mFleet.issueKey("club"));
        yaml.team("school", 3, 40, mFleet.issueKey("school"));
        for (int i = 0; i < HOSTS; i++) {
            String host = "h" + i;
            int port = mFleet.startHost(host, 8);
            if (relayed) {
                mHostRelays.add(new StallingRelay(port));
                port = mHostRelays.get(i).port();
            }
            yaml.host(host, "desk", "z" + i % DAEMONS, port, 8);
        }
        mFleet.startDaemons(relayed ? relayedPeers() : Collections.nCopies(DAEMONS, ""));
        for (int i = 0; i < DAEMONS; i++) {
            int daemon = i;
            // A daemon that has just started may get no processor for longer than a session waits.
            await(() -> mFleet.respondsToOperators(daemon));
        }
        await(() -> members(0) == DAEMONS);
        AggregatedHttpResponse applied =
                mFleet.callOperatorPort(0, HttpMethod.PUT, "/v1/settings", yaml.text());
        assertThat(applied.status().code()).describedAs(applied.contentUtf8()).isEqualTo(200);
        for (int i = 0; i < DAEMONS; i++) {
            int daemon = i;
            await(() -> mFleet.isReady(daemon));
        }
    }

    ProcessFleet fleet() {
        return mFleet;
    }

    /** Sends a non-idempotent request that runs for the given time. */
    Sent send(int daemon, String team, long runMillis) {
        String id = UUID.randomUUID().toString();
        return send(daemon, team, id, Map.of("x-run-millis", Long.toString(runMillis), "x-id", id));
    }

    Sent send(int daemon, String team, String id, Map<String, String> headers) {
        return send(daemon, team, "entries", id, headers);
    }

    Sent send(int daemon, String team, String service, String id, Map<String, String> headers) {
        return new Sent(id, mFleet.call(daemon, team, service, id, headers));
    }

    /** Stops delivery on the open connections between daemons, without closing them. */
    void stallPeerConnections() {
        mPeerRelays.forEach(StallingRelay::stall);
    }

    /** Stops delivery on the open connections to a host, without closing them. */
    void stallHostConnections(int host) {
        mHostRelays.get(host).stall();
    }

    /** Returns the number of members as a daemon knows it. */
    int members(int daemon) {
        AggregatedHttpResponse members =
                mFleet.callOperatorPort(daemon, HttpMethod.GET, "/v1/daemons", "");
        return members.contentUtf8().split("\"joinedAtMillis\"", -1).length - 1;
    }

    /**
     * Checks that no request ran twice, and that none ran whose response says {@code not-run}. Each
     * request must have been sent once.
     */
    void assertNothingRanTwiceOrAfterRefusal(List<Sent> sent) {
        Map<String, Long> runs =
                mFleet.records().stream()
                        .collect(
                                Collectors.groupingBy(
                                        TargetRecords.Run::requestId, Collectors.counting()));
        assertThat(runs.values()).allMatch(count -> count == 1);
        for (Sent s : sent) {
            if (!s.response().isCompletedExceptionally() && s.isNotRun()) {
                String id = s.response().join().headers().get("marigoldturn-request-id", "");
                assertThat(runs).doesNotContainKey(id);
            }
        }
    }

    private List<String> relayedPeers() throws IOException {
        List<String> configs = new ArrayList<>();
        for (int i = 0; i < DAEMONS; i++) {
            int port;
            try (ServerSocket socket = new ServerSocket(0)) {
                port = socket.getLocalPort();
            }
            StallingRelay relay = new StallingRelay(port);
            mPeerRelays.add(relay);
            configs.add("peerPort: %d%nadvertisedPeerPort: %d%n".formatted(port, relay.port()));
        }
        return configs;
    }

    /** Waits until a condition is true; fails if it is not within the limit for hanging tests. */
    static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_LIMIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("condition became true").isLessThan(deadlineNanos);
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    /** Returns the largest number of requests of the team that ran at the same time. */
    int peakRunning(String team) {
        return peakRunning(run -> run.team().equals(team));
    }

    /** Returns the largest number of the given runs that overlapped. */
    int peakRunning(Predicate<TargetRecords.Run> counted) {
        List<long[]> events = new ArrayList<>();
        for (TargetRecords.Run run : mFleet.records()) {
            if (counted.test(run)) {
                long ended = run.endedAtMillis() == 0 ? Long.MAX_VALUE : run.endedAtMillis();
                events.add(new long[] {run.startedAtMillis(), 1});
                events.add(new long[] {ended, -1});
            }
        }
        // At the same millisecond an end is counted before a start.
        events.sort((a, b) -> a[0] == b[0] ? Long.compare(a[1], b[1]) : Long.compare(a[0], b[0]));
        int running = 0;
        int peak = 0;
        for (long[] event : events) {
            running += (int) event[1];
            peak = Math.max(peak, running);
        }
        return peak;
    }

    /** Returns how often the hosts ran the request with an id. */
    long runs(String requestId) {
        return mFleet.records().stream().filter(r -> r.requestId().equals(requestId)).count();
    }

    @Override
    public void close() throws IOException {
        mFleet.close();
        for (StallingRelay relay : mHostRelays) {
            relay.close();
        }
        for (StallingRelay relay : mPeerRelays) {
            relay.close();
        }
    }
}

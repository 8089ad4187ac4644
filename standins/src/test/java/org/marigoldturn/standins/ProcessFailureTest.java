package org.marigoldturn.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.linecorp.armeria.client.SessionProtocolNegotiationException;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;
import org.marigoldturn.routing.RequestId;
import org.marigoldturn.standins.FleetUnderTest.Sent;

/** Tests invariants with real daemons that are killed or paused, and with store outages. */
class ProcessFailureTest {
    private static final int CLUB_LIMIT = FleetUnderTest.CLUB_LIMIT;

    /**
     * Guards against a team above its limit after a daemon was killed with running requests and
     * another was paused, and against rights that are lost forever.
     */
    @Example
    void limitHoldsWhenDaemonsAreKilledAndPaused() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("kill")) {
            List<Sent> sent = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                sent.add(fleet.send(i % 3, "club", 400));
            }
            TimeUnit.MILLISECONDS.sleep(600);
            fleet.fleet().daemon(1).pause();
            fleet.fleet().daemon(2).kill();
            for (int i = 0; i < 40; i++) {
                sent.add(fleet.send(0, "club", 400));
            }
            TimeUnit.SECONDS.sleep(5);
            fleet.fleet().daemon(1).resume();
            FleetUnderTest.await(() -> sent.stream().allMatch(s -> s.response().isDone()));
            assertThat(fleet.peakRunning("club")).isLessThanOrEqualTo(CLUB_LIMIT);
            // The rights of the killed daemon return once no host reports that its requests run.
            FleetUnderTest.await(
                    () -> {
                        List<Sent> batch = new ArrayList<>();
                        for (int i = 0; i < 2 * CLUB_LIMIT; i++) {
                            batch.add(fleet.send(0, "club", 500));
                        }
                        batch.forEach(s -> s.response().join());
                        return fleet.fleet().records().stream()
                                        .filter(r -> r.owner().startsWith("entry-0"))
                                        .mapToLong(TargetRecords.Run::startedAtMillis)
                                        .map(start -> concurrentAt(fleet, start))
                                        .max()
                                        .orElse(0)
                                == CLUB_LIMIT;
                    });
            assertThat(fleet.peakRunning("club")).isLessThanOrEqualTo(CLUB_LIMIT);
            fleet.assertNothingRanTwiceOrAfterRefusal(sent);
        }
    }

    /** Guards against an outage of the store that stops service or loses a change. */
    @Example
    void requestsAreServedWhileTheStoreIsDown() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("outage")) {
            fleet.fleet().store().setFaults("{\"down\": true}");
            long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(6);
            List<Sent> sent = new ArrayList<>();
            while (System.nanoTime() < untilNanos) {
                sent.add(fleet.send(sent.size() % 3, "school", 20));
                TimeUnit.MILLISECONDS.sleep(20);
            }
            sent.forEach(s -> assertThat(s.status()).isEqualTo(200));
            String pool = "{\"spare\": true}";
            AggregatedHttpResponse refused =
                    fleet.fleet().callOperatorPort(0, HttpMethod.PUT, "/v1/pools/extra", pool);
            assertThat(refused.status().code()).isEqualTo(503);
            fleet.fleet().store().setFaults("{\"down\": false}");
            FleetUnderTest.await(
                    () ->
                            fleet.fleet()
                                            .callOperatorPort(
                                                    1, HttpMethod.PUT, "/v1/pools/extra", pool)
                                            .status()
                                            .code()
                                    == 200);
            fleet.assertNothingRanTwiceOrAfterRefusal(sent);
        }
    }

    /** Guards against a daemon that serves settings which may be out of date. */
    @Example
    void daemonWithoutStoreAndMajorityRefusesAndRecovers() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("partition")) {
            fleet.fleet().store().setFaults("{\"down\": true}");
            fleet.fleet().daemon(1).pause();
            fleet.fleet().daemon(2).pause();
            List<Sent> refused = new ArrayList<>();
            FleetUnderTest.await(
                    () -> {
                        Sent sent = fleet.send(0, "school", 0);
                        boolean notRun = sent.isNotRun();
                        if (notRun) {
                            refused.add(sent);
                        }
                        return notRun;
                    });
            assertThat(refused.get(0).response().join().headers().get("retry-after")).isNotNull();
            assertThat(fleet.fleet().isReady(0)).isFalse();
            fleet.fleet().daemon(1).resume();
            FleetUnderTest.await(() -> fleet.send(0, "school", 0).status() == 200);
            fleet.fleet().daemon(2).resume();
            fleet.fleet().store().setFaults("{\"down\": false}");
            fleet.assertNothingRanTwiceOrAfterRefusal(refused);
        }
    }

    /** Guards against starts in a zone after its drain was accepted, and interrupted requests. */
    @Example
    void drainedZoneGetsNoStartAndInterruptsNoRequest() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("zone")) {
            List<Sent> sent = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                sent.add(fleet.send(i % 3, "school", 300));
            }
            AggregatedHttpResponse drained =
                    fleet.fleet().callOperatorPort(0, HttpMethod.POST, "/v1/zones/z0/drain", "");
            assertThat(drained.status().code()).isEqualTo(200);
            final long acceptedAtMillis = System.currentTimeMillis();
            for (int i = 0; i < 90; i++) {
                sent.add(fleet.send(i % 3, "school", 50));
                TimeUnit.MILLISECONDS.sleep(10);
            }
            sent.forEach(s -> assertThat(s.status()).isEqualTo(200));
            for (String host : List.of("h0", "h3")) {
                // A request sent before the acceptance may reach the host after it.
                assertThat(fleet.fleet().host(host).records().runs())
                        .allMatch(
                                run ->
                                        run.startedAtMillis() <= acceptedAtMillis
                                                || sentAtMillis(fleet, run) <= acceptedAtMillis);
            }
            int restored =
                    fleet.fleet()
                            .callOperatorPort(1, HttpMethod.POST, "/v1/zones/z0/restore", "")
                            .status()
                            .code();
            assertThat(restored).isEqualTo(200);
            FleetUnderTest.await(
                    () -> {
                        // A daemon uses only the slots that it holds, so requests go to all
                        // daemons.
                        List<Sent> batch = new ArrayList<>();
                        for (int i = 0; i < 45; i++) {
                            batch.add(fleet.send(i % 3, "school", 50));
                        }
                        batch.forEach(s -> assertThat(s.status()).isEqualTo(200));
                        return fleet.fleet().host("h0").records().runs().stream()
                                .anyMatch(run -> run.startedAtMillis() > acceptedAtMillis);
                    });
        }
    }

    /** Guards against a key that a daemon still accepts once its revocation was accepted. */
    @Example
    void revokedKeyStopsEverywhereOnceAccepted() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("key")) {
            assertThat(fleet.send(2, "club", 0).status()).isEqualTo(200);
            AggregatedHttpResponse revoked =
                    fleet.fleet()
                            .callOperatorPort(1, HttpMethod.DELETE, "/v1/teams/club/keys/k1", "");
            assertThat(revoked.status().code()).isEqualTo(200);
            for (int i = 0; i < 3; i++) {
                assertThat(fleet.send(i, "club", 0).status()).isEqualTo(401);
                assertThat(fleet.send(i, "school", 0).status()).isEqualTo(200);
            }
        }
    }

    /**
     * Guards against a start of the fleet that fails because a daemon gets no processor for 2 s.
     */
    @Example
    void daemonThatDoesNotRunForAWhileIsAwaited() throws Exception {
        try (ProcessFleet fleet = new ProcessFleet("stalled")) {
            int daemon = fleet.startDaemon();
            fleet.daemon(daemon).pause();
            assertThatThrownBy(
                            () -> fleet.callOperatorPort(daemon, HttpMethod.GET, "/v1/daemons", ""))
                    .hasRootCauseInstanceOf(SessionProtocolNegotiationException.class);
            assertThat(fleet.respondsToOperators(daemon)).isFalse();
            fleet.daemon(daemon).resume();
            FleetUnderTest.await(() -> fleet.respondsToOperators(daemon));
        }
    }

    /** Guards against a planned stop that fails requests or loses rights. */
    @Example
    void terminationUnderLoadFailsNoCaller() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("term")) {
            List<Sent> sent = new ArrayList<>();
            Thread stopper = new Thread(() -> terminate(fleet.fleet().daemon(1)));
            for (int i = 0; i < 300; i++) {
                if (i == 60) {
                    stopper.start();
                }
                int daemon = i % 3;
                // As from a load balancer, requests go only to daemons that report readiness.
                if (daemon != 1 || fleet.fleet().isReady(1)) {
                    sent.add(fleet.send(daemon, "club", 100));
                }
                TimeUnit.MILLISECONDS.sleep(15);
            }
            stopper.join();
            sent.forEach(s -> assertThat(s.status()).isEqualTo(200));
            assertThat(fleet.peakRunning("club")).isLessThanOrEqualTo(CLUB_LIMIT);
            fleet.assertNothingRanTwiceOrAfterRefusal(sent);
        }
    }

    /** Guards against a request id that runs more than once when several daemons receive it. */
    @Example
    void requestIdRunsOnceAcrossDaemons() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("claim")) {
            // Owners grant only ids with a time later than their takeover by twice the clock skew.
            TimeUnit.MILLISECONDS.sleep(3 * RequestId.REQUEST_ID_CLOCK_SKEW_MILLIS);
            SplittableRandom random = new SplittableRandom(20);
            for (int i = 0; i < 20; i++) {
                String id = RequestId.generate(System.currentTimeMillis(), random).toString();
                Map<String, String> headers =
                        Map.of("marigoldturn-request-id", id, "x-run-millis", "50");
                List<Sent> attempts = new ArrayList<>();
                for (int daemon = 0; daemon < 3; daemon++) {
                    attempts.add(fleet.send(daemon, "school", id, headers));
                }
                attempts.forEach(a -> a.response().join());
                assertThat(explanations(fleet, id)).contains("selected host").contains("duplicate");
                assertThat(fleet.runs(id)).isEqualTo(1);
                assertThat(attempts.stream().filter(a -> a.status() == 200)).hasSize(1);
                assertThat(attempts).noneMatch(Sent::isNotRun);
            }
        }
    }

    /** Guards against conflicting changes of a team of which one is lost without an error. */
    @Example
    void conflictingChangeNamesTheOtherChange() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("race")) {
            for (int round = 0; round < 5; round++) {
                String first = "{\"shareWeight\": 1, \"runningLimit\": %d}".formatted(20 + round);
                String second = "{\"shareWeight\": 1, \"runningLimit\": %d}".formatted(30 + round);
                var other =
                        java.util.concurrent.CompletableFuture.supplyAsync(
                                () -> put(fleet, 1, second));
                AggregatedHttpResponse one = put(fleet, 0, first);
                AggregatedHttpResponse two = other.join();
                List<Integer> codes = List.of(one.status().code(), two.status().code());
                assertThat(codes).contains(200).allMatch(c -> c == 200 || c == 409);
                for (AggregatedHttpResponse response : List.of(one, two)) {
                    if (response.status().code() == 409) {
                        assertThat(response.contentUtf8()).contains("changeId").contains("author");
                    }
                }
            }
        }
    }

    /** Returns the time at which the daemon of a run selected the host. */
    private static long sentAtMillis(FleetUnderTest fleet, TargetRecords.Run run) {
        Matcher selected =
                Pattern.compile(
                                "\"atMillis\":(\\d+),\"step\":\"dispatch\",\"detail\":\"selected"
                                        + " host")
                        .matcher(explanations(fleet, run.requestId()));
        assertThat(selected.find()).describedAs(explanations(fleet, run.requestId())).isTrue();
        return Long.parseLong(selected.group(1));
    }

    /** Returns the explanations of a request by all daemons. */
    private static String explanations(FleetUnderTest fleet, String requestId) {
        StringBuilder text = new StringBuilder();
        for (int daemon = 0; daemon < FleetUnderTest.DAEMONS; daemon++) {
            String path = "/v1/explain/" + requestId;
            text.append(
                    fleet.fleet().callOperatorPort(daemon, HttpMethod.GET, path, "").contentUtf8());
        }
        return text.toString();
    }

    private static AggregatedHttpResponse put(FleetUnderTest fleet, int daemon, String body) {
        return fleet.fleet().callOperatorPort(daemon, HttpMethod.PUT, "/v1/teams/club", body);
    }

    private static void terminate(ChildProcess daemon) {
        try {
            daemon.terminate();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns how many requests of entry-0 for the club ran at the given time. */
    private static long concurrentAt(FleetUnderTest fleet, long atMillis) {
        return fleet.fleet().records().stream()
                .filter(r -> r.owner().startsWith("entry-0") && r.team().equals("club"))
                .filter(r -> r.startedAtMillis() <= atMillis)
                .filter(r -> r.endedAtMillis() == 0 || r.endedAtMillis() > atMillis)
                .count();
    }
}

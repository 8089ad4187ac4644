package org.marigoldturn.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import net.jqwik.api.Example;
import org.marigoldturn.standins.FleetUnderTest.Sent;

/** Tests planned stops and operators' changes while the store is down, slow or loses responses. */
class StoreOutageTest {
    private static final int CLUB_LIMIT = FleetUnderTest.CLUB_LIMIT;
    private static final int STOPPED = 1;

    /**
     * Guards against a planned stop while the store is down that fails requests, or loses rights
     * that the other daemons need.
     */
    @Example
    void terminationWithoutStoreFailsNoRequestAndLosesNoRight() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("term-outage")) {
            List<Sent> sent = new ArrayList<>();
            fleet.fleet().store().setFaults("{\"down\": true}");
            Thread stopper = new Thread(() -> terminate(fleet.fleet().daemon(STOPPED)));
            for (int i = 0; i < 300; i++) {
                if (i == 60) {
                    stopper.start();
                }
                int daemon = i % FleetUnderTest.DAEMONS;
                // As from a load balancer, requests go only to daemons that report readiness.
                if (daemon != STOPPED || fleet.fleet().isReady(STOPPED)) {
                    sent.add(fleet.send(daemon, "club", 100));
                }
                TimeUnit.MILLISECONDS.sleep(10);
            }
            stopper.join();
            sent.forEach(s -> assertThat(s.status()).isEqualTo(200));
            final long stoppedAtMillis = System.currentTimeMillis();
            FleetUnderTest.await(
                    () -> {
                        for (int i = 0; i < 2 * CLUB_LIMIT; i++) {
                            sent.add(fleet.send(2 * (i % 2), "club", 300));
                        }
                        sent.forEach(s -> assertThat(s.status()).isEqualTo(200));
                        return peakSince(fleet, stoppedAtMillis) == CLUB_LIMIT;
                    });
            assertThat(fleet.peakRunning("club")).isLessThanOrEqualTo(CLUB_LIMIT);
            fleet.assertNothingRanTwiceOrAfterRefusal(sent);
        }
    }

    /**
     * Guards against an accepted change that a ready daemon does not have, a change that is applied
     * twice after a lost response, and requests that fail because of a slow store.
     */
    @Example
    void changesWithASlowStoreThatLosesResponsesAreAppliedOnce() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("slow-store")) {
            fleet.fleet().store().setFaults("{\"delayMillis\": 120}");
            List<Sent> sent = new ArrayList<>();
            List<CompletableFuture<Integer>> operators = new ArrayList<>();
            for (int daemon = 0; daemon < FleetUnderTest.DAEMONS; daemon++) {
                int index = daemon;
                operators.add(CompletableFuture.supplyAsync(() -> changePools(fleet, index)));
            }
            while (!operators.stream().allMatch(CompletableFuture::isDone)) {
                if (sent.size() % 50 == 0) {
                    fleet.fleet().store().setFaults("{\"loseAnswers\": 3}");
                }
                sent.add(fleet.send(sent.size() % FleetUnderTest.DAEMONS, "school", 20));
                TimeUnit.MILLISECONDS.sleep(20);
            }
            assertThat(operators.stream().mapToInt(CompletableFuture::join).sum()).isPositive();
            sent.forEach(s -> assertThat(s.status()).isEqualTo(200));
            fleet.fleet().store().setFaults("{\"delayMillis\": 0, \"loseAnswers\": 0}");
            FleetUnderTest.await(() -> history(fleet).status().code() == 200);
            String history = history(fleet).contentUtf8();
            assertThat(values(history, "\"changeId\":\"([^\"]*)\""))
                    .isNotEmpty()
                    .doesNotHaveDuplicates();
            assertThat(values(history, "\"version\":(\\d+)")).doesNotHaveDuplicates();
            fleet.assertNothingRanTwiceOrAfterRefusal(sent);
        }
    }

    /** Adds pools until some changes are accepted, and returns how many were. */
    private static int changePools(FleetUnderTest fleet, int daemon) {
        int accepted = 0;
        for (int i = 0; i < 6; i++) {
            String path = "/v1/pools/p%d-%d".formatted(daemon, i);
            AggregatedHttpResponse response =
                    fleet.fleet()
                            .callOperatorPort(daemon, HttpMethod.PUT, path, "{\"spare\": false}");
            if (response.status().code() == 200
                    && response.contentUtf8().contains("\"accepted\"")) {
                accepted++;
                for (int other = 0; other < FleetUnderTest.DAEMONS; other++) {
                    int code =
                            fleet.fleet()
                                    .callOperatorPort(other, HttpMethod.GET, path, "")
                                    .status()
                                    .code();
                    assertThat(code == 200 || !fleet.fleet().isReady(other))
                            .as("accepted %s at entry-%d", path, other)
                            .isTrue();
                }
            }
        }
        return accepted;
    }

    private static AggregatedHttpResponse history(FleetUnderTest fleet) {
        return fleet.fleet()
                .callOperatorPort(0, HttpMethod.GET, "/v1/settings/history?limit=1000", "");
    }

    private static List<String> values(String json, String pattern) {
        return Pattern.compile(pattern)
                .matcher(json)
                .results()
                .map(result -> result.group(1))
                .toList();
    }

    private static int peakSince(FleetUnderTest fleet, long sinceMillis) {
        return fleet.peakRunning(
                run -> run.team().equals("club") && run.startedAtMillis() > sinceMillis);
    }

    private static void terminate(ChildProcess daemon) {
        try {
            daemon.terminate();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

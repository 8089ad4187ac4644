package org.marigoldturn.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;
import org.marigoldturn.standins.FleetUnderTest.Sent;

/** Tests the life cycle of a host with real daemons and the platform's host list. */
class HostMaintenanceTest {
    /** Pool and state of a host in the steps of its move from pool desk to pool office. */
    private static final List<String> MOVE_STEPS =
            List.of("desk IN_SERVICE", "desk DRAINING", "desk RETURNING", "office IN_SERVICE");

    private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");

    /** Guards against a drained host that is never maintained, or never returns. */
    @Example
    void drainedHostIsMaintainedAndReturns() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("maintenance")) {
            ProcessFleet processes = fleet.fleet();
            int drained =
                    processes
                            .callOperatorPort(0, HttpMethod.POST, "/v1/hosts/h1/drain", "")
                            .status()
                            .code();
            assertThat(drained).isEqualTo(200);
            FleetUnderTest.await(() -> hostState(processes, "h1").equals("MAINTENANCE"));
            processes.setHostState("h1", "leaving");
            processes.setHostState("h1", "ended");
            for (int i = 0; i < FleetUnderTest.DAEMONS; i++) {
                int daemon = i;
                FleetUnderTest.await(() -> status(processes, daemon).contains("\"failedHosts\":1"));
            }
            processes.setHostState("h1", "live");
            FleetUnderTest.await(() -> hostState(processes, "h1").equals("IN_SERVICE"));
        }
    }

    /**
     * Guards against a host that serves two pools, or its new one before the requests of the old
     * one have ended, and against requests that fail because of a move.
     */
    @Example
    void movedHostIsDrainedBeforeItServesItsNewPool() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("move")) {
            ProcessFleet processes = fleet.fleet();
            put(processes, "/v1/pools/office", "{\"spare\": false}");
            String service = "{\"pool\": \"office\", \"maxUnavailablePercent\": 100}";
            put(processes, "/v1/services/letters", service);
            List<Sent> sent = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                sent.add(fleet.send(i % FleetUnderTest.DAEMONS, "school", 1_500));
            }
            FleetUnderTest.await(() -> !processes.host("h1").records().running().isEmpty());
            AggregatedHttpResponse moved =
                    processes.callOperatorPort(
                            0, HttpMethod.POST, "/v1/hosts/h1/move?pool=office", "");
            assertThat(moved.status().code()).describedAs(moved.contentUtf8()).isEqualTo(200);
            Map<Long, String> stepByVersion = new TreeMap<>();
            FleetUnderTest.await(
                    () -> {
                        sent.add(fleet.send(sent.size() % FleetUnderTest.DAEMONS, "school", 20));
                        return allServe(processes, stepByVersion);
                    });
            for (int i = 0; i < 30; i++) {
                String id = UUID.randomUUID().toString();
                int daemon = i % FleetUnderTest.DAEMONS;
                sent.add(fleet.send(daemon, "club", "letters", id, Map.of("x-run-millis", "20")));
            }
            sent.forEach(s -> assertThat(s.status()).isEqualTo(200));
            assertThat(stepByVersion.values().stream().map(MOVE_STEPS::indexOf).toList())
                    .isSorted()
                    .doesNotContain(-1);
            List<TargetRecords.Run> runs = processes.host("h1").records().runs();
            long lastOfDesk =
                    runs.stream()
                            .filter(run -> run.team().equals("school"))
                            .mapToLong(TargetRecords.Run::endedAtMillis)
                            .max()
                            .orElseThrow();
            assertThat(runs.stream().filter(run -> run.team().equals("club")))
                    .hasSize(30)
                    .allMatch(run -> run.startedAtMillis() >= lastOfDesk);
            fleet.assertNothingRanTwiceOrAfterRefusal(sent);
        }
    }

    /** Records the step that each daemon holds, and returns whether all hold the last one. */
    private static boolean allServe(ProcessFleet processes, Map<Long, String> stepByVersion) {
        boolean all = true;
        for (int daemon = 0; daemon < FleetUnderTest.DAEMONS; daemon++) {
            String settings =
                    processes
                            .callOperatorPort(daemon, HttpMethod.GET, "/v1/settings", "")
                            .contentUtf8();
            String pool = hostField(settings, "h1", "pool");
            String state = hostField(settings, "h1", "state");
            Matcher version = VERSION.matcher(settings);
            assertThat(version.find()).describedAs(settings).isTrue();
            String step = pool + " " + state;
            String other = stepByVersion.putIfAbsent(Long.valueOf(version.group(1)), step);
            assertThat(other == null || other.equals(step)).as("one pool at a version").isTrue();
            all &= pool.equals("office") && state.equals("IN_SERVICE");
        }
        return all;
    }

    private static void put(ProcessFleet processes, String path, String body) {
        AggregatedHttpResponse response = processes.callOperatorPort(0, HttpMethod.PUT, path, body);
        assertThat(response.status().code()).describedAs(response.contentUtf8()).isEqualTo(200);
    }

    private static String status(ProcessFleet processes, int daemon) {
        return processes.callOperatorPort(daemon, HttpMethod.GET, "/v1/status", "").contentUtf8();
    }

    private static String hostState(ProcessFleet processes, String host) {
        String settings =
                processes.callOperatorPort(0, HttpMethod.GET, "/v1/settings", "").contentUtf8();
        return hostField(settings, host, "state");
    }

    private static String hostField(String settings, String host, String field) {
        String fields = settings.substring(settings.indexOf("\"" + host + "\":{"));
        String key = "\"" + field + "\":\"";
        String value = fields.substring(fields.indexOf(key) + key.length());
        return value.substring(0, value.indexOf('"'));
    }
}

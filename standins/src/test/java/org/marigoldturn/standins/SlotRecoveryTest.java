package org.marigoldturn.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.util.Map;
import net.jqwik.api.Example;

/** Tests that slots of hosts stay usable when daemons join, leave or stop responding. */
class SlotRecoveryTest {
    /** Guards against slots of a new host that are assigned to daemons which have left. */
    @Example
    void hostAddedAfterAllDaemonsWereReplacedServes() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("replaced")) {
            ProcessFleet processes = fleet.fleet();
            processes.startDaemons(3);
            FleetUnderTest.await(() -> members(processes, 3) == 6);
            for (int old = 0; old < 3; old++) {
                processes.daemon(old).terminate();
            }
            FleetUnderTest.await(() -> members(processes, 3) == 3);
            addPoolWithOneSlot(processes, 3);
            for (int daemon = 3; daemon < 6; daemon++) {
                assertThat(call(processes, daemon).status().code()).isEqualTo(200);
            }
        }
    }

    /** Guards against slots that are lost when the last daemon has left and a new one joins. */
    @Example
    void slotsReturnAfterTheWholeFleetOfDaemonsWasStopped() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("restart")) {
            ProcessFleet processes = fleet.fleet();
            for (int daemon = 0; daemon < 3; daemon++) {
                processes.daemon(daemon).terminate();
            }
            processes.startDaemons(1);
            FleetUnderTest.await(() -> processes.isReady(3));
            FleetUnderTest.await(() -> fleet.send(3, "school", 0).status() == 200);
        }
    }

    /** Guards against a pool that serves nothing while a paused daemon holds all its slots. */
    @Example
    void pausedDaemonWithAllSlotsDoesNotStopThePool() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("holder")) {
            ProcessFleet processes = fleet.fleet();
            addPoolWithOneSlot(processes, 0);
            // The only slot moves to the daemon that starts the request.
            assertThat(call(processes, 1).status().code()).isEqualTo(200);
            processes.daemon(1).pause();
            FleetUnderTest.await(() -> call(processes, 0).status().code() == 200);
            processes.daemon(1).resume();
            FleetUnderTest.await(() -> call(processes, 1).status().code() == 200);
        }
    }

    private static void addPoolWithOneSlot(ProcessFleet processes, int daemon) throws Exception {
        put(processes, daemon, "/v1/pools/late", "{\"spare\": false}");
        put(
                processes,
                daemon,
                "/v1/services/late",
                "{\"pool\": \"late\", \"maxUnavailablePercent\": 100}");
        int port = processes.startHost("late-0", 1);
        put(
                processes,
                daemon,
                "/v1/hosts/late-0",
                "{\"pool\": \"late\", \"zone\": \"z0\", \"address\": \"127.0.0.1\", \"slots\": 1,"
                        + " \"port\": "
                        + port
                        + "}");
    }

    private static void put(ProcessFleet processes, int daemon, String path, String body) {
        AggregatedHttpResponse response =
                processes.callOperatorPort(daemon, HttpMethod.PUT, path, body);
        assertThat(response.status().code()).describedAs(response.contentUtf8()).isEqualTo(200);
    }

    private static AggregatedHttpResponse call(ProcessFleet processes, int daemon) {
        Map<String, String> headers = Map.of("marigoldturn-deadline-millis", "5000");
        return processes.call(daemon, "school", "late", "", headers).join();
    }

    private static int members(ProcessFleet processes, int daemon) {
        String body =
                processes.callOperatorPort(daemon, HttpMethod.GET, "/v1/daemons", "").contentUtf8();
        return body.split("\"joinedAtMillis\"", -1).length - 1;
    }
}

package org.marigoldturn.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpMethod;
import net.jqwik.api.Example;

/** The life cycle of a host with real daemons and the platform's host list. */
class HostMaintenanceTest {
    /** Guards against a drained host that is never maintained, or never returns. */
    @Example
    void drainedHostIsMaintainedAndReturns() throws Exception {
        try (FleetUnderTest fleet = new FleetUnderTest("maintenance")) {
            ProcessFleet processes = fleet.fleet();
            int drained =
                    processes.operate(0, HttpMethod.POST, "/v1/hosts/h1/drain", "").status().code();
            assertThat(drained).isEqualTo(200);
            FleetUnderTest.await(() -> hostState(processes, "h1").equals("MAINTENANCE"));
            processes.setPresence("h1", "leaving");
            processes.setPresence("h1", "ended");
            for (int i = 0; i < FleetUnderTest.DAEMONS; i++) {
                int daemon = i;
                FleetUnderTest.await(() -> status(processes, daemon).contains("\"failedHosts\":1"));
            }
            processes.setPresence("h1", "live");
            FleetUnderTest.await(() -> hostState(processes, "h1").equals("IN_SERVICE"));
        }
    }

    private static String status(ProcessFleet processes, int daemon) {
        return processes.operate(daemon, HttpMethod.GET, "/v1/status", "").contentUtf8();
    }

    private static String hostState(ProcessFleet processes, String host) {
        String settings = processes.operate(0, HttpMethod.GET, "/v1/settings", "").contentUtf8();
        String fields = settings.substring(settings.indexOf("\"" + host + "\":{"));
        String state = fields.substring(fields.indexOf("\"state\":\"") + 9);
        return state.substring(0, state.indexOf('"'));
    }
}

package org.marigoldturn.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/** Guards against callers that make an entry daemon run out of memory. */
class EntryClientLimitsProcessTest {
    private static final long MAX_RESIDENT_KILOBYTES = 320_000;

    private ProcessFleet mFleet;
    private ClientCrowd mCrowd;

    @BeforeTry
    void start() throws IOException, InterruptedException {
        mFleet = new ProcessFleet("client-limits");
        FleetYaml yaml = new FleetYaml().zone("z0").pool("desk").service("entries", "desk", "");
        yaml.team("club", 1, 8, mFleet.issueKey("club"));
        yaml.host("h0", "desk", "z0", mFleet.startHost("h0", 8), 8);
        mFleet.startDaemon("", List.of("-Xmx64m", "-XX:+ExitOnOutOfMemoryError"));
        FleetUnderTest.await(
                () ->
                        mFleet.callOperatorPort(0, HttpMethod.PUT, "/v1/settings", yaml.text())
                                        .status()
                                        .code()
                                == 200);
        FleetUnderTest.await(() -> mFleet.isReady(0));
        mCrowd = new ClientCrowd("127.0.0.1", mFleet.daemon(0).port("callers"), mFleet.daemon(0));
    }

    @AfterTry
    void stop() {
        mCrowd.close();
        mFleet.close();
    }

    /** Guards against responses that pile up because the caller of a connection reads none. */
    @Example
    void pipelinedRequestsWithUnreadResponses() throws Exception {
        mCrowd.gather(40);
        mCrowd.sendAll(
                "GET /none HTTP/1.1\r\n\r\n".repeat(50_000).getBytes(StandardCharsets.UTF_8));
        assertServes();
    }

    /** Guards against heads that are within the limit in bytes but take far more in memory. */
    @Example
    void veryManyHeaderLinesInUnfinishedHeads() throws Exception {
        mCrowd.gather(600);
        mCrowd.sendAll(
                ("GET /none HTTP/1.1\r\n" + "a:\n".repeat(5_000)).getBytes(StandardCharsets.UTF_8));
        assertServes();
    }

    private void assertServes() throws IOException, InterruptedException {
        assertThat(mFleet.daemon(0).isAlive()).as("the daemon runs").isTrue();
        assertThat(mCrowd.serverResidentKilobytes()).isLessThanOrEqualTo(MAX_RESIDENT_KILOBYTES);
        mCrowd.close();
        FleetUnderTest.await(
                () ->
                        mFleet.call(0, "club", "entries", "text", Map.of()).join().status().code()
                                == 200);
    }
}

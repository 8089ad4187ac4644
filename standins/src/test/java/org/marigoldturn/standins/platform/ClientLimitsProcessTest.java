package org.marigoldturn.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.marigoldturn.standins.ClientCrowd;

/** Guards against clients that make a daemon of the platform run out of memory or descriptors. */
class ClientLimitsProcessTest {
    private static final int FRONT_PORT = 8340;
    private static final int MAX_FDS = 700;
    private static final long MAX_RESIDENT_KILOBYTES = 320_000;
    private static final String ID = "00000000000000a1";
    private static final String JOB =
            "{\"Spec\":\"text\",\"Steps\":[{\"Count\":1,\"Cpu\":500,\"MemMb\":100,"
                    + "\"EstimateMs\":300}]}";

    private PlatformFleet mFleet;
    private ClientCrowd mCrowd;

    @BeforeTry
    void start() throws IOException, InterruptedException {
        mFleet =
                new PlatformFleet(
                        Files.createTempDirectory("client-limits"),
                        101,
                        List.of("-Xmx64m", "-XX:+ExitOnOutOfMemoryError"),
                        "Limits.MaxFds="
                                + MAX_FDS
                                + "\nClientLimits.HeadTimeoutMs=3000"
                                + "\nClientLimits.BodyTimeoutMs=3000\n");
        mFleet.platform().addTarget("service", "h1", 300);
        mFleet.startDaemon();
        mCrowd = new ClientCrowd(mFleet.ip(0), FRONT_PORT, mFleet.daemon(0));
    }

    @AfterTry
    void stop() {
        mCrowd.close();
        mFleet.close();
    }

    /** Guards against responses that pile up because the client of a connection reads none. */
    @Example
    void pipelinedRequestsWithUnreadResponses() throws Exception {
        byte[] requests =
                "GET /none HTTP/1.1\r\n\r\n".repeat(50_000).getBytes(StandardCharsets.UTF_8);
        mCrowd.gather(40);
        mCrowd.sendAll(requests);
        assertServes();
    }

    /** Guards against a client that leaves no descriptor for the store, peers and targets. */
    @Example
    void moreConnectionsThanDescriptors() throws Exception {
        mCrowd.gather(1_500);
        mCrowd.sendAll("GET /q/".getBytes(StandardCharsets.UTF_8));
        assertThat(countDescriptors()).isLessThanOrEqualTo(MAX_FDS);
        mFleet.awaitReady(0);
        assertServes();
    }

    /** Guards against heads that are within the limit in bytes but take far more in memory. */
    @Example
    void veryManyHeaderLinesInUnfinishedHeads() throws Exception {
        byte[] head =
                ("GET /none HTTP/1.1\r\n" + "a:\n".repeat(2_600)).getBytes(StandardCharsets.UTF_8);
        mCrowd.gather(600);
        mCrowd.sendAll(head);
        assertServes();
    }

    /** Guards against a connection that is held for ever by one byte of a head at a time. */
    @Example
    void headThatNeverEndsIsClosed() throws Exception {
        assertEndsEarly("GET /none HTTP/1.1\r\nx: ");
    }

    /** Guards against a connection that is held for ever by one byte of a body at a time. */
    @Example
    void bodyThatNeverEndsIsClosed() throws Exception {
        assertEndsEarly("POST /q/" + ID + " HTTP/1.1\r\ncontent-length: 9999\r\n\r\n");
    }

    private void assertEndsEarly(String start) throws Exception {
        mCrowd.gather(1);
        mCrowd.sendAll(start.getBytes(StandardCharsets.UTF_8));
        int bytes = mCrowd.trickle(40);
        assertThat(bytes).as("bytes accepted of a request that never ends").isLessThan(40);
        assertServes();
    }

    private void assertServes() throws IOException {
        assertThat(mFleet.daemon(0).isAlive()).as("the daemon runs").isTrue();
        assertThat(mCrowd.serverResidentKilobytes()).isLessThanOrEqualTo(MAX_RESIDENT_KILOBYTES);
        mCrowd.close();
        assertThat(mFleet.submit(0, ID, JOB).status().code()).isEqualTo(200);
    }

    private long countDescriptors() throws IOException {
        try (Stream<Path> descriptors = Files.list(process().resolve("fd"))) {
            return descriptors.count();
        }
    }

    private Path process() {
        return Path.of("/proc", Long.toString(mFleet.daemon(0).pid()));
    }
}

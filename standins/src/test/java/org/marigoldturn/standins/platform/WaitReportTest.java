package org.marigoldturn.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/** Tests with a real daemon that its log and its metrics tell why a long-running task waits. */
class WaitReportTest {
    private static final int FIRST_ADDRESS_BYTE = 86;

    /** Waits of this length are logged. */
    private static final double THRESHOLD_MILLIS = 2_000;

    private static final String ID = "00000000000000a1";
    private static final String LONG_RUNNING =
            """
            {"Spec":"lasting","Steps":[{"Count":2,"Cpu":500,"MemMb":100,"EstimateMs":300,
            "AntiAffinity":1,"LongRunning":true,"MaxUnavailable":1}]}
            """;

    private Path mDirectory;
    private PlatformFleet mFleet;

    @BeforeTry
    void start() throws IOException, InterruptedException {
        mDirectory = Files.createTempDirectory("wait-report");
        mFleet = new PlatformFleet(mDirectory, FIRST_ADDRESS_BYTE);
        mFleet.platform().addTarget("service", "h1", 300);
        mFleet.platform().addTarget("service", "h2", 300);
        mFleet.startDaemon();
    }

    @AfterTry
    void stop() {
        mFleet.close();
    }

    @Example
    void taskOfALostTargetIsReportedUntilItRunsAgain() throws InterruptedException {
        PlatformFleet.await(
                "the job is accepted",
                () -> mFleet.submit(0, ID, LONG_RUNNING).status().code() == 200);
        PlatformFleet.await("both run", () -> mFleet.platform().countRunning() == 2);
        PlatformFleet.await("no wait is measured", () -> metric("longrunning_waiting") == 0);
        assertThat(metric("longrunning_longest_wait_millis")).isZero();

        String lost = mFleet.platform().targetsInUse().get(0);
        mFleet.platform().holdBackResponses(lost);
        PlatformFleet.await(
                "the lost target is the reason once its lease has expired",
                () -> hasLine("event=waiting", "reason=unreachable", "targetIds=" + lost));
        assertThat(metric("longrunning_waiting")).isEqualTo(1);
        assertThat(metric("longrunning_longest_wait_millis")).isGreaterThan(THRESHOLD_MILLIS);

        mFleet.platform().addTarget("service", "h3", 300);
        PlatformFleet.await("the wait is over", () -> hasLine("event=wait-over", "running=true"));
        PlatformFleet.await("no wait is measured", () -> metric("longrunning_waiting") == 0);
    }

    private double metric(String name) {
        String text =
                mFleet.client()
                        .get("http://127.0.0." + FIRST_ADDRESS_BYTE + ":9464/metrics")
                        .aggregate()
                        .join()
                        .contentUtf8();
        return text.lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
                .findFirst()
                .orElseThrow(() -> new AssertionError("no metric " + name + " in: " + text));
    }

    private boolean hasLine(String... parts) {
        try {
            return Files.readString(mDirectory.resolve("daemon-0.log"))
                    .lines()
                    .filter(line -> line.contains("task: "))
                    .anyMatch(line -> List.of(parts).stream().allMatch(line::contains));
        } catch (IOException e) {
            throw new IllegalStateException("cannot read the daemon's log", e);
        }
    }
}

package org.marigoldturn.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.util.HashSet;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/** Tests jobs from submission to completion with real daemons and a platform stand-in. */
class PlatformPathTest {
    private static final String TWO_STEPS =
            """
            {"Spec":"text","Steps":[{"Count":3,"Cpu":500,"MemMb":100,"EstimateMs":300},
            {"Count":2,"Cpu":500,"MemMb":100,"EstimateMs":300,"After":[0]}]}
            """;
    private static final String LONG_RUNNING =
            """
            {"Spec":"lasting","Steps":[{"Count":2,"Cpu":500,"MemMb":100,"EstimateMs":300,
            "AntiAffinity":1,"LongRunning":true,"MaxUnavailable":1}]}
            """;
    private static final String ID = "00000000000000a1";
    private static final String OTHER_ID = "00000000000000a2";

    private PlatformFleet mFleet;
    private String mFirstTarget;

    @BeforeTry
    void start() throws IOException, InterruptedException {
        mFleet = new PlatformFleet(Files.createTempDirectory("platform-path"), 11);
        mFirstTarget = mFleet.platform().addTarget("service", "h1", 300);
        mFleet.platform().addTarget("service", "h2", 300);
        // The first daemon becomes the owner: it is ready before the second one starts.
        mFleet.startDaemon();
        mFleet.startDaemon();
    }

    @AfterTry
    void stop() {
        mFleet.close();
    }

    @Example
    void jobRunsOnceThroughAnyDaemon() throws InterruptedException {
        assertThat(mFleet.submit(0, ID, TWO_STEPS).status().code()).isEqualTo(200);
        assertThat(mFleet.submit(1, ID, TWO_STEPS).status().code()).isEqualTo(200);
        PlatformFleet.await("completed", () -> isCompleted(1, ID));
        assertThat(mFleet.platform().starts()).hasSize(5).doesNotHaveDuplicates();
        assertThat(mFleet.queryState(0, OTHER_ID).status().code()).isEqualTo(410);
    }

    @Example
    void badInputGetsAClearError() {
        assertError(mFleet.submit(0, "xyz", TWO_STEPS), 400, "16 hexadecimal digits");
        assertError(mFleet.submit(0, ID, "{"), 400, "not JSON");
        assertError(mFleet.submit(0, ID, "{\"Spec\":\"t\"}"), 400, "Steps is not a list");
        assertError(
                mFleet.submit(0, ID, "{\"Spec\":\"t\",\"Steps\":[{\"Count\":1,\"After\":[0]}]}"),
                400,
                "waits for step 0");
        assertError(
                mFleet.submit(
                        0,
                        ID,
                        "{\"Spec\":\"" + "x".repeat(4_001) + "\",\"Steps\":[{\"Count\":1}]}"),
                400,
                "4001 bytes");
        assertThat(mFleet.call(0, HttpMethod.POST, "/q/" + ID, "wrong", TWO_STEPS).status().code())
                .isEqualTo(401);
        assertThat(mFleet.call(0, HttpMethod.GET, "/none/", "secret", "").status().code())
                .isEqualTo(404);
        assertThat(mFleet.platform().starts()).isEmpty();
    }

    @Example
    void stepsOfAnAdvisedQueueRunOnlyWhereTheAdviceAllows() throws InterruptedException {
        mFleet.platform().policyService().allow(mFirstTarget);
        String body = TWO_STEPS.replace("text", "advised");
        assertThat(
                        mFleet.call(1, HttpMethod.POST, "/advised/" + ID, "secret", body)
                                .status()
                                .code())
                .isEqualTo(200);
        PlatformFleet.await(
                "completed",
                () ->
                        mFleet.call(1, HttpMethod.GET, "/advised/" + ID, "secret", "")
                                .contentUtf8()
                                .contains("completed"));
        assertThat(mFleet.platform().starts(mFirstTarget)).hasSize(5).doesNotHaveDuplicates();
        assertThat(mFleet.platform().starts()).hasSize(5);
    }

    @Example
    void cancelledJobStopsEverywhere() throws InterruptedException {
        assertThat(mFleet.submit(0, ID, LONG_RUNNING).status().code()).isEqualTo(200);
        PlatformFleet.await("both run", () -> mFleet.platform().countRunning() == 2);
        assertThat(mFleet.call(1, HttpMethod.DELETE, "/q/" + ID, "secret", "").status().code())
                .isEqualTo(200);
        PlatformFleet.await("none runs", () -> mFleet.platform().countRunning() == 0);
        assertThat(mFleet.queryState(0, ID).contentUtf8()).contains("cancelled");
    }

    @Example
    void killedOwnerLosesNoJobAndRunsNothingTwice() throws Exception {
        mFleet.platform().addTarget("service", "h3", 2_500);
        assertThat(mFleet.submit(1, ID, TWO_STEPS).status().code()).isEqualTo(200);
        mFleet.daemon(0).kill();
        PlatformFleet.await("completed", () -> isCompleted(1, ID));
        assertThat(mFleet.platform().starts()).hasSize(5).doesNotHaveDuplicates();
    }

    /**
     * The first submission gets no response of the store, and its job runs later; the next one is
     * refused.
     */
    @Example
    void silentStoreRefusesSubmissionsAtOnceAndKeepsTasksRunning() throws Exception {
        assertThat(mFleet.submit(0, ID, LONG_RUNNING).status().code()).isEqualTo(200);
        PlatformFleet.await("both run", () -> mFleet.platform().countRunning() == 2);
        mFleet.platform().setStoreUnavailable(true);
        AggregatedHttpResponse first = mFleet.submit(0, OTHER_ID, TWO_STEPS);
        assertThat(first.status().code()).isEqualTo(504);
        AggregatedHttpResponse next = mFleet.submit(1, "00000000000000a3", TWO_STEPS);
        assertThat(next.status().code()).isEqualTo(503);
        assertThat(next.headers().get(HttpHeaderNames.RETRY_AFTER)).isNotEmpty();
        Thread.sleep(5_000);
        assertThat(mFleet.platform().countRunning()).isEqualTo(2);

        mFleet.platform().setStoreUnavailable(false);
        PlatformFleet.await("the job without a response completed", () -> isCompleted(1, OTHER_ID));
        assertThat(new HashSet<>(mFleet.platform().starts()))
                .hasSize(mFleet.platform().starts().size());
    }

    @Example
    void revokedKeyIsRefusedAlsoAfterACompaction() throws InterruptedException {
        mFleet.platform().compact();
        mFleet.configure(2, "another");
        PlatformFleet.await(
                "the old key is refused", () -> mFleet.queryState(0, ID).status().code() == 401);
        PlatformFleet.await(
                "at all daemons", () -> mFleet.queryState(1, ID).status().code() == 401);
    }

    @Example
    void maintenanceWaveKeepsTheBudgetOfLongRunningTasks() throws InterruptedException {
        mFleet.platform().addTarget("service", "h3", 300);
        assertThat(mFleet.submit(0, ID, LONG_RUNNING).status().code()).isEqualTo(200);
        PlatformFleet.await("both run", () -> mFleet.platform().countRunning() == 2);
        mFleet.platform()
                .put(
                        "op/wave/1",
                        "{\"Wave\":1,\"Machines\":[\"h1\",\"h2\",\"h3\"],\"DurationS\":20,"
                                + "\"UpperBound\":2}");
        PlatformFleet.await(
                "completed", () -> mFleet.platform().text("status/wave/1").contains("completed"));
        assertThat(mFleet.platform().hostsInMaintenance())
                .containsExactlyInAnyOrder("h1", "h2", "h3");
        PlatformFleet.await("both run again", () -> mFleet.platform().countRunning() == 2);
    }

    @Example
    void terminatedOwnerHandsOverAndExits() throws Exception {
        assertThat(mFleet.submit(1, ID, LONG_RUNNING).status().code()).isEqualTo(200);
        PlatformFleet.await("both run", () -> mFleet.platform().countRunning() == 2);
        mFleet.daemon(0).terminate();
        assertThat(mFleet.queryState(1, ID).status().code()).isEqualTo(200);
        assertThat(mFleet.platform().countRunning()).isEqualTo(2);
        assertThat(mFleet.platform().starts()).hasSize(2);
    }

    /**
     * Guards against a new owner that starts tasks again because the platform's list lacks the
     * target that runs them.
     */
    @Example
    void nextOwnerKeepsTheRunsOfATargetThatIsNotListed() throws Exception {
        mFleet.platform().addTarget("service", "h3", 300);
        assertThat(mFleet.submit(1, ID, LONG_RUNNING).status().code()).isEqualTo(200);
        PlatformFleet.await("both run", () -> mFleet.platform().countRunning() == 2);
        for (String target : mFleet.platform().targetsInUse()) {
            mFleet.platform().cutTargetFromStore(target);
        }
        mFleet.daemon(0).terminate();
        PlatformFleet.await(
                "the next owner runs other tasks",
                () -> mFleet.submit(1, OTHER_ID, TWO_STEPS).status().code() == 200);
        PlatformFleet.await("completed", () -> isCompleted(1, OTHER_ID));
        // Longer than the lease of the first owner: the next one has to renew it.
        Thread.sleep(5_000);
        assertThat(mFleet.platform().starts()).hasSize(7).doesNotHaveDuplicates();
        assertThat(mFleet.platform().countRunning()).isEqualTo(2);
    }

    private boolean isCompleted(int daemon, String id) {
        return mFleet.queryState(daemon, id).contentUtf8().contains("completed");
    }

    private static void assertError(AggregatedHttpResponse response, int status, String text) {
        assertThat(response.status().code()).isEqualTo(status);
        assertThat(response.contentUtf8()).contains(text);
    }
}

package org.marigoldturn.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/**
 * Tests with real daemons and a platform stand-in that no task starts again after the end of its
 * run as done was confirmed to the target.
 */
class ConfirmedEndsTest {
    private static final String TWO_TASKS =
            """
            {"Spec":"lasting","Steps":[{"Count":2,"Cpu":500,"MemMb":100,"EstimateMs":300,
            "AntiAffinity":1}]}
            """;
    private static final String GANG =
            TWO_TASKS.replace("\"AntiAffinity\"", "\"Gang\":true,\"AntiAffinity\"");
    private static final String ID = "00000000000000a1";
    private static final String PROGRESS_PREFIX = "mt/progress/";

    /** Polls after which an owner has confirmed the ends that need no further write. */
    private static final int FURTHER_POLLS = 4;

    private PlatformFleet mFleet;
    private StandInPlatform mPlatform;

    @BeforeTry
    void start() throws IOException, InterruptedException {
        mFleet = new PlatformFleet(Files.createTempDirectory("confirmed-ends"), 61);
        mPlatform = mFleet.platform();
        mPlatform.addTarget("service", "h1", 300);
        mPlatform.addTarget("service", "h2", 300);
        mPlatform.addTarget("service", "h3", 300);
        // The first daemon becomes the owner: it is ready before the second one starts.
        mFleet.startDaemon();
        mFleet.startDaemon();
    }

    @AfterTry
    void stop() {
        mFleet.close();
    }

    /** Guards against confirming an end that is ignored due to an unstored cancellation. */
    @Example
    void taskDoneUnderAnUnstoredCancellationDoesNotStartAgain() throws Exception {
        List<String> targets = startOnTwoTargets(TWO_TASKS);
        mPlatform.delayStops();
        mPlatform.loseWrites(PROGRESS_PREFIX);
        assertThat(mFleet.call(1, HttpMethod.DELETE, "/q/" + ID, "secret", "").status().code())
                .isNotEqualTo(200);
        assertThat(mPlatform.lostWrites()).contains(PROGRESS_PREFIX + ID);

        targets.forEach(mPlatform::endRuns);
        awaitFurtherPolls(targets);
        List<String> confirmed = confirmedDone(targets);
        mFleet.daemon(0).kill();
        mPlatform.stopLosingWrites();
        PlatformFleet.await("ended or started again", () -> hasEnded() || hasStartedAgain());
        assertThat(mPlatform.starts())
                .as("starts; confirmed under the first owner: %s", confirmed)
                .hasSize(2)
                .doesNotHaveDuplicates();
    }

    /** Guards against confirming the end of a gang member before the end of its gang is stored. */
    @Example
    void gangMemberDoneUnderAnUnstoredEndOfItsGangDoesNotStartAgain() throws Exception {
        List<String> targets = startOnTwoTargets(GANG);
        mPlatform.delayStops();
        mPlatform.loseWrites(PROGRESS_PREFIX);
        mPlatform.endRuns(targets.get(0));
        PlatformFleet.await(
                "the end of the gang is to be stored",
                () -> mPlatform.lostWrites().contains(PROGRESS_PREFIX + ID));

        List<String> second = targets.subList(1, 2);
        mPlatform.endRuns(second.get(0));
        awaitFurtherPolls(second);
        List<String> confirmed = confirmedDone(second);
        mFleet.daemon(0).kill();
        mPlatform.crashTarget(targets.get(0));
        mPlatform.stopLosingWrites();
        PlatformFleet.await("ended or started again", () -> hasEnded() || hasStartedAgain());
        assertThat(mPlatform.starts())
                .as("starts; confirmed under the first owner: %s", confirmed)
                .hasSize(1);
    }

    /** Guards against ends that the next owner misses since their targets are not listed. */
    @Example
    void taskDoneOnATargetThatIsNotListedDoesNotStartAgain() throws Exception {
        List<String> targets = startOnTwoTargets(TWO_TASKS);
        targets.forEach(mPlatform::cutTargetFromStore);
        mFleet.daemon(0).kill();
        targets.forEach(mPlatform::endRuns);
        PlatformFleet.await("ended or started again", () -> hasEnded() || hasStartedAgain());
        targets.forEach(mPlatform::reconnectTarget);
        PlatformFleet.await("both ends are confirmed", () -> confirmedDone(targets).size() == 2);
        assertThat(mPlatform.starts()).hasSize(2).doesNotHaveDuplicates();
    }

    private List<String> startOnTwoTargets(String job) throws InterruptedException {
        assertThat(mFleet.submit(0, ID, job).status().code()).isEqualTo(200);
        PlatformFleet.await("both run", () -> mPlatform.countRunning() == 2);
        List<String> targets = mPlatform.targetsInUse();
        assertThat(targets).hasSize(2);
        return targets;
    }

    private void awaitFurtherPolls(List<String> targets) throws InterruptedException {
        for (String target : targets) {
            int polls = mPlatform.countPolls(target) + FURTHER_POLLS;
            PlatformFleet.await("polled", () -> mPlatform.countPolls(target) >= polls);
        }
    }

    private List<String> confirmedDone(List<String> targets) {
        List<String> all = new ArrayList<>();
        targets.forEach(target -> all.addAll(mPlatform.confirmedDone(target)));
        return all;
    }

    private boolean hasEnded() {
        String state = mFleet.queryState(1, ID).contentUtf8();
        return state.contains("completed") || state.contains("cancelled");
    }

    private boolean hasStartedAgain() {
        List<String> starts = mPlatform.starts();
        return new HashSet<>(starts).size() < starts.size();
    }
}

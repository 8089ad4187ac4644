package org.marigoldturn.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/**
 * Tests with real daemons and a platform stand-in that no call for a former incarnation of a target
 * lets a task run twice after the target has restarted under its id and address.
 *
 * <p>A relay holds one call back, loses all others until the owner has found the next incarnation,
 * and passes the held one on to that. Two targets of another kind, on which the tasks cannot run,
 * make up most of the recorded ones, so that a new owner need not wait for longer than leases last.
 */
class RestartedTargetTest {
    private static final String KIND = "b";
    private static final String OTHER_KIND = "a";
    private static final String JOB =
            """
            {"Spec":"%s","Steps":[{"Count":1,"Cpu":500,"MemMb":100,"EstimateMs":300,
            "Requires":"b"}]}
            """;
    private static final String LONG_JOB = JOB.formatted("lasting");
    private static final String SHORT_JOB = JOB.formatted("text");
    private static final String ID = "00000000000000a1";
    private static final String SHORT_ID = "00000000000000a2";
    private static final int FIRST_ADDRESS_BYTE = 141;

    private Path mDirectory;
    private PlatformFleet mFleet;
    private StandInPlatform mPlatform;
    private String mTarget;
    private TargetRelay mRelay;

    @BeforeTry
    void start() throws IOException, InterruptedException {
        mDirectory = Files.createTempDirectory("restarted-target");
        mFleet = new PlatformFleet(mDirectory, FIRST_ADDRESS_BYTE);
        mPlatform = mFleet.platform();
        mTarget = mPlatform.addTarget("service", "h1", KIND, 300);
        mRelay = new TargetRelay(mPlatform.address(mTarget));
        mPlatform.listUnder(mTarget, mRelay.address());
        String second = mPlatform.addTarget("service", "h2", OTHER_KIND, 300);
        String third = mPlatform.addTarget("service", "h3", OTHER_KIND, 300);
        // The first daemon becomes the owner: it is ready before the second one starts.
        mFleet.startDaemon();
        mFleet.startDaemon();
        awaitRead(mTarget);
        awaitRead(second);
        awaitRead(third);
    }

    @AfterTry
    void stop() {
        mRelay.close();
        mFleet.close();
    }

    /** Guards against a late start on a target that has reported to its owner. */
    @Example
    void startHeldFromBeforeARestartDoesNotRunBesideAnotherRun() throws Exception {
        holdStart();
        restartTarget(OTHER_KIND);
        awaitTargetFoundAgain();
        mRelay.reconnect();
        awaitRead(mTarget);
        awaitStartElsewhere();
        mRelay.passOn();
        assertNoTaskStartedTwice();
    }

    /** Guards against a start that is taken as ended with the former incarnation. */
    @Example
    void startThatReachesARestartedTargetFirstDoesNotRunBesideAnotherRun() throws Exception {
        holdStart();
        passOnToRestartedTarget();
        mPlatform.reconnectTarget(mTarget);
        awaitStartElsewhere();
        assertNoTaskStartedTwice();
    }

    /** Like the test before, for a new owner that finds the former incarnation's record. */
    @Example
    void startOfAKilledOwnerOnARestartedTargetDoesNotRunBesideAnotherRun() throws Exception {
        holdStart();
        passOnToRestartedTarget();
        killOwner();
        mPlatform.reconnectTarget(mTarget);
        awaitStartElsewhere();
        assertNoTaskStartedTwice();
    }

    /** Guards against a lease that ends later than the owner knows. */
    @Example
    void leaseHeldFromBeforeARestartDoesNotKeepARunBesideAnotherRun() throws Exception {
        holdPollWithLease();
        restartTarget(KIND);
        awaitTargetFoundAgain();
        mRelay.reconnect();
        runOnTarget();
        mRelay.cut();
        mRelay.passOn();
        awaitStartElsewhere();
        assertNoTaskStartedTwice();
    }

    /** Guards against a lease that a new owner does not know. */
    @Example
    void leaseOfAKilledOwnerHeldFromBeforeARestartDoesNotKeepARunBesideAnotherRun()
            throws Exception {
        holdPollWithLease();
        restartTarget(KIND);
        awaitTargetFoundAgain();
        mRelay.reconnect();
        runOnTarget();
        mRelay.cut();
        killOwner();
        mRelay.passOn();
        awaitStartElsewhere();
        assertNoTaskStartedTwice();
    }

    /** Guards against a lease that the target has had before its first response. */
    @Example
    void leaseThatReachesARestartedTargetFirstDoesNotKeepARunBesideAnotherRun() throws Exception {
        holdPollWithLease();
        passOnToRestartedTarget();
        mRelay.reconnect();
        mPlatform.reconnectTarget(mTarget);
        runOnTarget();
        mRelay.cut();
        awaitStartElsewhere();
        assertNoTaskStartedTwice();
    }

    /** Like the test before, for a new owner. */
    @Example
    void leaseOfARestartedTargetDoesNotKeepARunBesideAnotherRunOfANewOwner() throws Exception {
        holdPollWithLease();
        passOnToRestartedTarget();
        mRelay.reconnect();
        mPlatform.reconnectTarget(mTarget);
        runOnTarget();
        mRelay.cut();
        killOwner();
        awaitStartElsewhere();
        assertNoTaskStartedTwice();
    }

    /** Guards against a lease that the target takes from a start that it rejects as outdated. */
    @Example
    void leaseOfARejectedStartFromBeforeARestartDoesNotKeepARunBesideAnotherRun() throws Exception {
        holdStart();
        restartTarget(KIND);
        awaitTargetFoundAgain();
        mRelay.reconnect();
        awaitRunOnTarget();
        mRelay.cut();
        assertThat(mRelay.passOn().status().code()).isEqualTo(409);
        awaitStartElsewhere();
        assertNoTaskStartedTwice();
    }

    /** Guards against ends that the owner has never read and that count as confirmed. */
    @Example
    void confirmationHeldFromBeforeARestartDoesNotDropAnUnreadEnd() throws Exception {
        holdConfirmation();
        restartTarget(KIND);
        awaitTargetFoundAgain();
        mRelay.reconnect();
        runOnTarget();
        mRelay.cut();
        mPlatform.endRuns(mTarget);
        mRelay.passOn();
        mRelay.reconnect();
        awaitCompletedOrStartedAgain(0);
        assertNoTaskStartedTwice();
    }

    /** Like the test before, for a new owner. */
    @Example
    void confirmationOfAKilledOwnerHeldFromBeforeARestartDoesNotDropAnUnreadEnd() throws Exception {
        holdConfirmation();
        restartTarget(KIND);
        awaitTargetFoundAgain();
        mRelay.reconnect();
        runOnTarget();
        mRelay.cut();
        mPlatform.endRuns(mTarget);
        killOwner();
        mRelay.passOn();
        mRelay.reconnect();
        awaitCompletedOrStartedAgain(1);
        assertNoTaskStartedTwice();
    }

    private void holdStart() throws InterruptedException {
        mRelay.holdAndCut(TargetRelay.Call::isStart);
        submit(ID, LONG_JOB);
        PlatformFleet.await("a start is held", mRelay::isHolding);
    }

    /** Holds a poll, and waits until the owner takes the target as lost, which ends its leases. */
    private void holdPollWithLease() throws InterruptedException {
        mRelay.holdAndCut(call -> call.isPoll() && call.hasLease());
        PlatformFleet.await("a poll is held", mRelay::isHolding);
        PlatformFleet.await(
                "a poll without a lease is lost", () -> mRelay.countLostPollsWithoutLease() > 0);
    }

    private void holdConfirmation() throws InterruptedException {
        mRelay.holdAndCut(call -> call.isPoll() && call.lastSeen() > 0);
        submit(SHORT_ID, SHORT_JOB);
        PlatformFleet.await("a poll is held", mRelay::isHolding);
    }

    private void submit(String id, String job) throws InterruptedException {
        PlatformFleet.await(
                "the job is accepted", () -> mFleet.submit(0, id, job).status().code() == 200);
    }

    private void runOnTarget() throws InterruptedException {
        awaitRead(mTarget);
        submit(ID, LONG_JOB);
        awaitRunOnTarget();
    }

    private void awaitRunOnTarget() throws InterruptedException {
        PlatformFleet.await("the task runs", () -> mPlatform.starts(mTarget).size() == 1);
    }

    /** Restarts the target without a change of its entry in the store. */
    private void restart(String kind) {
        mPlatform.restartTarget(mTarget, kind);
        mRelay.relayTo(mPlatform.address(mTarget));
    }

    private void restartTarget(String kind) {
        restart(kind);
        mPlatform.reconnectTarget(mTarget);
    }

    private void passOnToRestartedTarget() {
        restart(KIND);
        assertThat(mRelay.passOn().status().code()).isEqualTo(200);
    }

    private void awaitTargetFoundAgain() throws InterruptedException {
        String line = "event=found target=" + mTarget + " ";
        PlatformFleet.await("the target is found again", () -> countLogLines(line) >= 2);
    }

    private long countLogLines(String part) {
        try (var lines = Files.lines(mDirectory.resolve("daemon-0.log"))) {
            return lines.filter(line -> line.contains(part)).count();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Waits until the owner has processed a response of the target's present incarnation. */
    private void awaitRead(String target) throws InterruptedException {
        PlatformFleet.await(target + " is read", () -> mPlatform.countPolls(target) >= 2);
    }

    private void killOwner() throws InterruptedException {
        mFleet.daemon(0).kill();
        PlatformFleet.await("there is another owner", () -> mFleet.owner() == 1);
    }

    private void awaitStartElsewhere() throws InterruptedException {
        String other = mPlatform.addTarget("service", "h4", KIND, 300);
        PlatformFleet.await("the task starts elsewhere", () -> mPlatform.starts(other).size() == 1);
    }

    private void awaitCompletedOrStartedAgain(int daemon) throws InterruptedException {
        PlatformFleet.await(
                "completed or started again",
                () ->
                        mPlatform.starts(mTarget).size() > 1
                                || mFleet.queryState(daemon, ID)
                                        .contentUtf8()
                                        .contains("completed"));
    }

    private void assertNoTaskStartedTwice() {
        // Ends the runs whose lease has expired.
        mPlatform.countRunning();
        assertThat(mPlatform.runs().startedTwice()).isEmpty();
    }
}

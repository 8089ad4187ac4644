package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.TaskId;
import org.marigoldturn.scheduling.EndKind;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.Order;
import org.marigoldturn.scheduling.Run;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetReport;
import org.marigoldturn.scheduling.TargetState;

/**
 * Guards against runs' ends that are confirmed to a target before the store holds them, and against
 * lease renewals that must not happen.
 */
class TargetSessionTest implements TargetSession.Callbacks {
    private static final TargetEntry ENTRY =
            new TargetEntry(
                    "t1",
                    7,
                    "h1",
                    "service",
                    "a:1",
                    "z",
                    "r",
                    Set.of(),
                    ResourceAmounts.NONE,
                    false);
    private static final TargetReport ONE_END =
            new TargetReport(
                    7,
                    List.of(),
                    List.of(
                            new TargetReport.RunEnd(
                                    1, new TaskId("a", 0, 0, 0), 1, EndKind.DONE, "")),
                    true);

    private final ControlLoop mControl = new ControlLoop();
    private final Clocks mClocks = Clocks.system();
    private final JobScheduler mScheduler =
            new JobScheduler(
                    new QueueCatalog(1, List.of(), Set.of(), Set.of(), List.of()), 1, 0, 0, 0);
    private final TargetState mTarget = mScheduler.onTargetListed(ENTRY, 0);
    private final ScriptedTarget mClient = new ScriptedTarget();
    private volatile boolean mMayRenew = true;
    private volatile LongUnaryOperator mLeaseEnd = now -> now + 4_000;
    private final BlockingQueue<Long> mRestarts = new LinkedBlockingQueue<>();
    private volatile JobScheduler mReportedTo = mScheduler;
    private final List<CompletableFuture<Void>> mWrites = new ArrayList<>();
    private final List<Long> mConfirmedEnds = new CopyOnWriteArrayList<>();

    @AfterTry
    void stop() {
        mControl.close();
    }

    @Example
    void endThatIsReportedAgainBeforeItsWriteIsNotConfirmed() throws InterruptedException {
        startSession();

        assertThat(nextRecordedEnd()).isZero();
        assertThat(nextRecordedEnd()).isZero();
        assertThat(nextRecordedEnd()).isZero();
        mControl.execute(() -> mWrites.forEach(write -> write.complete(null)));
        long recorded = nextRecordedEnd();
        for (int i = 0; i < 3 && recorded == 0; i++) {
            recorded = nextRecordedEnd();
        }
        assertThat(recorded).isEqualTo(1);
    }

    @Example
    void confirmationOfEndsIsNotifiedOnceWithThePollThatCarriesIt() throws InterruptedException {
        startSession();

        assertThat(nextRecordedEnd()).isZero();
        assertThat(nextRecordedEnd()).isZero();
        assertThat(mConfirmedEnds).isEmpty();
        mControl.execute(() -> mWrites.forEach(write -> write.complete(null)));
        long recorded = nextRecordedEnd();
        for (int i = 0; i < 3 && recorded == 0; i++) {
            recorded = nextRecordedEnd();
        }
        assertThat(recorded).isEqualTo(1);
        assertThat(mConfirmedEnds).containsExactly(1L);
    }

    @Example
    void leasesAreNotRenewedByAnOwnerThatMayNotAct() throws InterruptedException {
        startSession();

        assertThat(nextPoll().leaseEndTargetMillis()).isZero();
        assertThat(nextPoll().leaseEndTargetMillis()).isPositive();
        mMayRenew = false;
        nextPoll();
        assertThat(nextPoll().leaseEndTargetMillis()).isZero();
    }

    @Example
    void leaseOfAnUnresponsiveTargetIsNotRenewed() throws InterruptedException {
        mClient.mUnresponsiveAfter = 1;
        startSession();

        assertThat(nextPoll().leaseEndTargetMillis()).isZero();
        assertThat(nextPoll().leaseEndTargetMillis()).isPositive();
        assertThat(nextPoll().leaseEndTargetMillis()).isZero();
        assertThat(nextPoll().leaseEndTargetMillis()).isZero();
    }

    @Example
    void callsOfBeforeALossOfContactAreFenced() throws InterruptedException {
        mClient.mUnresponsiveAfter = 1;
        startSession();

        long token = nextPoll().token();
        assertThat(nextPoll().token()).isEqualTo(token);
        assertThat(nextPoll().token()).isEqualTo(token + 1);
        assertThat(nextPoll().token()).isEqualTo(token + 1);
    }

    /** Guards against ends of the next incarnation that are confirmed unread. */
    @Example
    void endsAreNotConfirmedToATargetThatDoesNotRespond() throws InterruptedException {
        mClient.mUnresponsiveAfter = 2;
        startSession();

        nextPoll();
        nextPoll();
        mControl.execute(() -> mWrites.forEach(write -> write.complete(null)));
        long recorded = nextRecordedEnd();
        for (int i = 0; i < 3; i++) {
            recorded = nextRecordedEnd();
        }
        assertThat(recorded).isZero();
    }

    @Example
    void endsAreConfirmedOnce() throws InterruptedException {
        mClient.mRespondsToConfirmations = true;
        startSession();

        assertThat(nextRecordedEnd()).isZero();
        // The second poll is sent once the first report has been processed.
        assertThat(nextRecordedEnd()).isZero();
        mControl.execute(() -> mWrites.forEach(write -> write.complete(null)));
        long recorded = nextRecordedEnd();
        for (int i = 0; i < 3 && recorded == 0; i++) {
            recorded = nextRecordedEnd();
        }
        assertThat(recorded).isEqualTo(1);
        assertThat(nextRecordedEnd()).isZero();
        assertThat(mConfirmedEnds).containsExactly(1L);
    }

    @Example
    void theNextIncarnationIsNotTakenForTheEarlierOne() throws InterruptedException {
        mClient.mReport = new TargetReport(8, List.of(), List.of(), true);
        startSession();

        assertThat(mRestarts.poll(20, TimeUnit.SECONDS)).isEqualTo(8);
        assertThat(mTarget.hasReported()).isFalse();
    }

    /** Guards against a lease that outlasts what the next owner waits for. */
    @Example
    void noLeaseEndsAfterTheLimit() throws InterruptedException {
        long limitMillis = mClocks.now() + 1_500;
        mLeaseEnd = now -> limitMillis;
        startSession();

        nextPoll();
        long read = mClocks.now();
        long end = nextPoll().leaseEndTargetMillis();
        // The target's clock shows 1,000 ms at the first response.
        assertThat(end).isPositive().isLessThanOrEqualTo(1_000 + limitMillis - read + 1_000);
        assertThat(end - 1_000).isLessThanOrEqualTo(1_500);
        assertThat(mTarget.leaseEndMillis())
                .isGreaterThanOrEqualTo(limitMillis)
                .isLessThanOrEqualTo(limitMillis + 100);
    }

    @Example
    void noLeaseIsGrantedThatWouldEndBeforeTheNextPoll() throws InterruptedException {
        mLeaseEnd = now -> now + TargetLeases.SHORTEST_MILLIS - 1;
        startSession();

        nextPoll();
        assertThat(nextPoll().leaseEndTargetMillis()).isZero();
        assertThat(mTarget.leaseEndMillis()).isZero();
    }

    /** Guards against a short lease that ends while a poll waits. */
    @Example
    void pollsEndBeforeAShortLeaseDoes() throws InterruptedException {
        mLeaseEnd = now -> now + 1_500;
        startSession();

        nextPoll();
        assertThat(nextPoll().waitMillis()).isBetween(300L, 500L);
    }

    @Example
    void pollsWaitLongerWhileLeasesAreLong() throws InterruptedException {
        startSession();

        nextPoll();
        assertThat(nextPoll().waitMillis()).isEqualTo(1_000);
    }

    /** Guards against a lease of an earlier owner that outlasts those of this one. */
    @Example
    void theLeaseOfAnEarlierOwnerIsKeptOnTheFirstResponse() throws InterruptedException {
        long now = mClocks.now();
        JobScheduler scheduler =
                new JobScheduler(
                        new QueueCatalog(1, List.of(), Set.of(), Set.of(), List.of()),
                        2,
                        now,
                        3_000,
                        3_000);
        TargetState restored = scheduler.restoreTarget(ENTRY, now);
        mMayRenew = false;
        startSession(restored, scheduler);

        nextPoll();
        nextPoll();
        assertThat(restored.leaseEndMillis()).isEqualTo(now + 3_000);
    }

    private long nextRecordedEnd() throws InterruptedException {
        return nextPoll().recordedEnd();
    }

    private void startSession() {
        startSession(mTarget, mScheduler);
    }

    private void startSession(TargetState target, JobScheduler scheduler) {
        mReportedTo = scheduler;
        TargetSession session =
                new TargetSession(
                        target,
                        mClient,
                        mControl,
                        mClocks,
                        1,
                        now -> mMayRenew ? mLeaseEnd.applyAsLong(now) : now,
                        4_160,
                        this);
        mControl.execute(() -> session.start(() -> {}));
    }

    private TargetClient.PollRequest nextPoll() throws InterruptedException {
        TargetClient.PollRequest request = mClient.mRequests.poll(20, TimeUnit.SECONDS);
        assertThat(request).as("a poll of the target").isNotNull();
        return request;
    }

    @Override
    public CompletableFuture<Void> onFirstResponse(TargetState target) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> onReport(
            TargetState target, TargetClient.PollResponse response, long askedMillis) {
        boolean isNew = target.lastProcessedEnd() == 0;
        mReportedTo.onReport(target, response.report(), askedMillis, mClocks.now(), 0);
        if (!isNew) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<Void> write = new CompletableFuture<>();
        mWrites.add(write);
        return write;
    }

    @Override
    public void onEndsConfirmed(TargetState target, long upTo) {
        mConfirmedEnds.add(upTo);
    }

    @Override
    public void onEnded(TargetState target) {
        throw new IllegalStateException("the target has not ended");
    }

    @Override
    public void onRestarted(TargetState target, long startedEpochMillis) {
        mRestarts.add(startedEpochMillis);
    }

    @Override
    public void onContactLost(TargetState target) {
        mScheduler.onContactLost(target);
    }

    @Override
    public void onFenced(TargetState target) {
        throw new IllegalStateException("the target has not fenced");
    }

    /** A target that reports one end until it is confirmed. */
    private static final class ScriptedTarget implements TargetClient {
        private final BlockingQueue<PollRequest> mRequests = new LinkedBlockingQueue<>();
        private int mUnresponsiveAfter = Integer.MAX_VALUE;
        private volatile boolean mRespondsToConfirmations;
        private volatile TargetReport mReport = ONE_END;
        private int mPolls;

        @Override
        public CompletableFuture<PollResponse> poll(TargetEntry target, PollRequest request) {
            mRequests.add(request);
            if (++mPolls > mUnresponsiveAfter) {
                return CompletableFuture.failedFuture(
                        new TargetCallException(
                                TargetCallException.Kind.UNANSWERED, "no answer", null));
            }
            return request.recordedEnd() == 0 || mRespondsToConfirmations
                    ? CompletableFuture.completedFuture(new PollResponse(1_000, mReport))
                    : new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<StartResponse> start(
                TargetEntry target, Order.Start order, long term, long leaseEndTargetMillis) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Void> stop(TargetEntry target, Run run, long term) {
            return new CompletableFuture<>();
        }
    }
}

package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.Order;
import org.marigoldturn.scheduling.Run;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetState;

/**
 * Guards against a takeover that opens hundreds of connections at once, behind which the renewals
 * of the new owner's lease wait until it loses the ownership again.
 */
class TargetSessionsTest implements TargetClient, TargetSession.Callbacks {
    private static final int TARGETS = 250;

    private final ControlLoop mControl = new ControlLoop();
    private final JobScheduler mScheduler =
            new JobScheduler(
                    new QueueCatalog(1, List.of(), Set.of(), Set.of(), List.of()), 1, 0, 0, 0);
    private final List<CompletableFuture<PollResponse>> mOpenPolls = new ArrayList<>();
    private final List<String> mPolled = new ArrayList<>();
    private final TargetSessions mSessions =
            new TargetSessions(
                    new OwnerContext(
                            new DaemonIdentity("front-1", "front-1/a", "z", "127.0.0.1", 1, 1.0),
                            2,
                            1,
                            new MemoryStore(),
                            this,
                            null,
                            null,
                            new EmptyFormats(),
                            mControl,
                            Clocks.system(),
                            new JobLimits(6_000, 1_000),
                            new MetricRegistry(),
                            new TakeoverTimes(0, 0, OwnershipLease.GRACE_MILLIS, 0, 0, 1),
                            new OwnershipLease(),
                            0,
                            () -> {},
                            () -> {}),
                    now -> now + 4_000,
                    this);

    @AfterTry
    void stop() {
        mControl.close();
    }

    @Example
    void allTargetsOfATakeoverAreReadWithFewFirstPollsOpenAtATime() {
        for (int i = 0; i < TARGETS; i++) {
            open("t" + i);
        }
        while (mPolled.size() < TARGETS) {
            assertThat(mOpenPolls).hasSize(TargetSessions.MAX_FIRST_POLLS);
            failOldestPoll();
        }
        assertThat(mPolled).doesNotHaveDuplicates();
    }

    @Example
    void sessionThatWasClosedBeforeItsFirstPollTakesNoPlace() {
        List<TargetState> targets = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            targets.add(open("t" + i));
        }
        targets.subList(TargetSessions.MAX_FIRST_POLLS, TARGETS - 1)
                .forEach(target -> onControl(() -> mSessions.close(target)));
        failOldestPoll();
        assertThat(mPolled).hasSize(TargetSessions.MAX_FIRST_POLLS + 1);
        assertThat(mPolled).last().isEqualTo("t" + (TARGETS - 1));
    }

    private TargetState open(String id) {
        TargetEntry entry =
                new TargetEntry(
                        id,
                        1,
                        "h" + id,
                        "s",
                        "a:1",
                        "z",
                        "r",
                        Set.of(),
                        ResourceAmounts.NONE,
                        false);
        CompletableFuture<TargetState> opened = new CompletableFuture<>();
        onControl(
                () -> {
                    TargetState target = mScheduler.onTargetListed(entry, 0);
                    mSessions.open(target);
                    opened.complete(target);
                });
        return opened.join();
    }

    /** Fails a poll as a silent target does; its session polls again later. */
    private void failOldestPoll() {
        mOpenPolls
                .remove(0)
                .completeExceptionally(
                        new TargetCallException(
                                TargetCallException.Kind.UNANSWERED, "no response", null));
        onControl(() -> {});
    }

    private void onControl(Runnable task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mControl.execute(
                () -> {
                    task.run();
                    done.complete(null);
                });
        done.join();
    }

    @Override
    public CompletableFuture<PollResponse> poll(TargetEntry target, PollRequest request) {
        CompletableFuture<PollResponse> response = new CompletableFuture<>();
        if (mPolled.contains(target.id())) {
            // A repetition after a failure is not a first poll.
            return response;
        }
        mPolled.add(target.id());
        mOpenPolls.add(response);
        return response;
    }

    @Override
    public CompletableFuture<StartResponse> start(
            TargetEntry target, Order.Start order, long term, long leaseEndTargetMillis) {
        throw new IllegalStateException("nothing is started");
    }

    @Override
    public CompletableFuture<Void> stop(TargetEntry target, Run run, long term) {
        throw new IllegalStateException("nothing is stopped");
    }

    @Override
    public CompletableFuture<Void> onFirstResponse(TargetState target) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> onReport(
            TargetState target, PollResponse response, long pollSentMillis) {
        throw new IllegalStateException("no target responds");
    }

    @Override
    public void onEndsConfirmed(TargetState target, long upTo) {
        throw new IllegalStateException("no target responds");
    }

    @Override
    public void onEnded(TargetState target) {
        throw new IllegalStateException("no target ends");
    }

    @Override
    public void onRestarted(TargetState target, long startedEpochMillis) {
        throw new AssertionError("no target is restarted");
    }

    @Override
    public void onContactLost(TargetState target) {
        mScheduler.onContactLost(target);
    }

    @Override
    public void onFenced(TargetState target) {
        throw new IllegalStateException("no target has a newer owner");
    }
}

package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Example;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobSpec;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.QueueSettings;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.StepSpec;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.Order;
import org.marigoldturn.scheduling.Run;
import org.marigoldturn.scheduling.StartOutcome;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetReport;
import org.marigoldturn.scheduling.TargetState;

/** Guards against orders that use up the connections of a target. */
class TargetOrdersTest {
    private static final QueueSettings QUEUE =
            new QueueSettings(
                    "queue", "host", "/q/", "service", 0, 2, 1.6, 600, false, Optional.empty());
    private static final int TASKS = 6;

    private final JobScheduler mScheduler =
            new JobScheduler(
                    new QueueCatalog(1, List.of(QUEUE), Set.of("service"), Set.of(), List.of()),
                    1,
                    0,
                    0,
                    0);
    private final TargetOrders mOrders = new TargetOrders();
    private TargetState mTarget;

    @Example
    void fewOrdersAreOpenAtATargetAtATime() {
        List<Order.Start> starts = starts();
        starts.forEach(mOrders::add);
        List<Order> sent = new ArrayList<>(mOrders.takeSendable(mTarget));
        assertThat(sent).hasSize(TargetOrders.MAX_OPEN_ORDERS);
        assertThat(mOrders.takeSendable(mTarget)).isEmpty();
        while (sent.size() < starts.size()) {
            mOrders.onEnded(mTarget);
            List<Order> next = mOrders.takeSendable(mTarget);
            assertThat(next).hasSize(1);
            sent.addAll(next);
        }
        assertThat(sent).containsExactlyElementsOf(starts);
    }

    @Example
    void stopOrdersComeFirst() {
        List<Order.Start> starts = starts();
        starts.forEach(mOrders::add);
        Order.Stop stop = new Order.Stop(starts.get(0).run());
        mOrders.add(stop);
        assertThat(mOrders.takeSendable(mTarget)).first().isEqualTo(stop);
    }

    /** Guards against the stop of a run that turned out to run while its stop order waited. */
    @Example
    void aStopThatWaitsIsNotSentOnceItIsWithdrawn() {
        List<Order.Start> starts = starts();
        Run run = starts.get(0).run();
        mScheduler.onStartResponse(run, StartOutcome.UNKNOWN, 1_000);
        Order.Stop stop = (Order.Stop) mScheduler.decide(1_000, 1_000).get(0);
        starts.forEach(mOrders::add);
        mOrders.takeSendable(mTarget);
        mOrders.add(stop);
        TargetReport.RunReport listed =
                new TargetReport.RunReport(run.task(), run.number(), "", 50);
        mScheduler.onReport(
                mTarget, new TargetReport(1, List.of(listed), List.of(), true), 1_100, 1_100, 0);
        mOrders.onEnded(mTarget);
        assertThat(mOrders.takeSendable(mTarget)).hasSize(1).doesNotContain(stop);

        mScheduler.cancel("a", 0);
        assertThat(mScheduler.decide(2_000, 2_000)).anyMatch(order -> order.run() == run);
    }

    /** Guards against a run that is stopped and whose start is sent after that. */
    @Example
    void aStartThatWaitsIsTakenBackInsteadOfAStop() {
        List<Order.Start> starts = starts();
        starts.forEach(mOrders::add);
        mOrders.takeSendable(mTarget);
        assertThat(mOrders.takeStart(starts.get(0).run())).isEmpty();
        Order.Start waiting = starts.get(TASKS - 1);
        assertThat(mOrders.takeStart(waiting.run())).contains(waiting);
        assertThat(mOrders.takeStarts(mTarget)).doesNotContain(waiting);
    }

    /**
     * Guards against a start that is sent after its run was given up, or is not wanted any more.
     */
    @Example
    void aStartThatHasWaitedIsSentOnlyWhileItsRunIsWanted() {
        List<Order.Start> starts = starts();
        assertThat(starts).allMatch(start -> mScheduler.mayStart(start.run()));
        mTarget.setInterrupted(true);
        assertThat(starts).noneMatch(start -> mScheduler.mayStart(start.run()));
        mTarget.setInterrupted(false);
        mScheduler.setClosedZones(Set.of("z"));
        assertThat(starts).noneMatch(start -> mScheduler.mayStart(start.run()));
        mScheduler.setClosedZones(Set.of());

        mTarget.setReachable(false);
        assertThat(starts).noneMatch(start -> mScheduler.mayStart(start.run()));
        mTarget.extendLease(2_000);
        mScheduler.setOwnership(true, 3_000);
        mScheduler.expireLeases(3_000);
        mTarget.setReachable(true);
        assertThat(starts).noneMatch(start -> mScheduler.mayStart(start.run()));
    }

    @Example
    void aStartOfACancelledJobIsNotSent() {
        List<Order.Start> starts = starts();
        mScheduler.cancel("a", 0);
        assertThat(starts).noneMatch(start -> mScheduler.mayStart(start.run()));
    }

    @Example
    void startsThatWaitForATargetCanBeTakenBack() {
        List<Order.Start> starts = starts();
        starts.forEach(mOrders::add);
        mOrders.takeSendable(mTarget);
        assertThat(mOrders.takeStarts(mTarget))
                .containsExactlyElementsOf(
                        starts.subList(TargetOrders.MAX_OPEN_ORDERS, starts.size()));
        mOrders.onEnded(mTarget);
        assertThat(mOrders.takeSendable(mTarget)).isEmpty();
    }

    private List<Order.Start> starts() {
        TargetEntry entry =
                new TargetEntry(
                        "t1",
                        1,
                        "h1",
                        "service",
                        "127.0.0.1:9",
                        "z",
                        "r",
                        Set.of(),
                        new ResourceAmounts(8_000, 16_000, 0),
                        false);
        mTarget = mScheduler.onTargetListed(entry, 0);
        mTarget.setRecorded(true);
        mTarget.setReachable(true);
        mScheduler.onReport(mTarget, new TargetReport(1, List.of(), List.of(), true), 0, 0, 0);
        StepSpec step =
                new StepSpec(
                        TASKS,
                        new ResourceAmounts(1_000, 100, 0),
                        1_000,
                        List.of(),
                        new StepSpec.Placement("", "", 0, false),
                        new StepSpec.Traits(false, false, false, false, false),
                        "",
                        0,
                        StepSpec.NO_BUDGET);
        Job job = new Job("a", "queue", "", new JobSpec("", List.of(step), 1, false, 0, 0), 0);
        assertThat(mScheduler.submit(job, QUEUE, 0, 0).accepted()).isTrue();
        mScheduler.onStored("a");
        List<Order.Start> starts = new ArrayList<>();
        for (Order order : mScheduler.decide(1_000, 1_000)) {
            starts.add((Order.Start) order);
        }
        assertThat(starts).hasSize(TASKS);
        return starts;
    }
}

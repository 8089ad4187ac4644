package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import org.marigoldturn.jobs.AdviceSettings;

/**
 * Checks that steps of a queue with a policy service start only on targets that the service allows.
 */
class AdvicePlannerTest {
    private static final AdviceSettings ADVICE = new AdviceSettings(20, 1, 5_000);

    private final SchedulerFixture mFixture = new SchedulerFixture();
    private TargetState mNear;
    private TargetState mFar;

    private void prepare(int tasks) {
        mFixture.requireTickets(ADVICE);
        mNear = mFixture.addTarget("near", 4_000);
        mFar = mFixture.addTarget("far", 8_000);
        mFixture.accept(SchedulerFixture.job("j1", "account", SchedulerFixture.step(tasks, 1_000)));
    }

    @Example
    void taskWithoutATicketWaitsAndLeadsToARequest() {
        prepare(1);
        assertThat(mFixture.starts()).isEmpty();
        AdviceRequest request = nextAdviceRequest().orElseThrow();
        assertThat(request.jobId()).isEqualTo("j1");
        assertThat(request.targets()).containsExactly(mFar, mNear);
    }

    @Example
    void taskStartsOnTheAllowedTargetWithItsTicket() {
        prepare(2);
        respond(Map.of("near", "ticket-1"));
        List<Order> orders = mFixture.mScheduler.decide(mFixture.mNowMillis, mFixture.mNowMillis);
        assertThat(orders).hasSize(2);
        for (Order order : orders) {
            assertThat(order.run().target()).isSameAs(mNear);
            assertThat(((Order.Start) order).ticket()).isEqualTo("ticket-1");
        }
        assertThat(nextAdviceRequest()).isEmpty();
    }

    @Example
    void forbiddenTargetIsNotAskedAboutAgain() {
        prepare(1);
        respond(Map.of());
        assertThat(nextAdviceRequest()).isEmpty();
        assertThat(mFixture.starts()).isEmpty();
    }

    @Example
    void newTargetIsAskedAboutAfterARefusal() {
        prepare(1);
        respond(Map.of());
        TargetState added = mFixture.addTarget("added", 4_000);
        assertThat(nextAdviceRequest().orElseThrow().targets()).containsExactly(added);
    }

    @Example
    void ticketThatExpiresSoonIsRenewed() {
        prepare(1);
        respond(Map.of("near", "ticket-1"));
        mFixture.mNowMillis += ADVICE.validMillis();
        assertThat(mFixture.starts()).isEmpty();
        assertThat(nextAdviceRequest().orElseThrow().targets()).containsExactly(mNear);
    }

    @Example
    void ticketThatATargetRejectsIsRenewed() {
        prepare(1);
        respond(Map.of("near", "ticket-1"));
        Run run = mFixture.starts().get(0);
        mFixture.mScheduler.onStartResponse(run, StartOutcome.INVALID_TICKET, mFixture.mNowMillis);
        assertThat(mFixture.starts()).isEmpty();
        assertThat(nextAdviceRequest().orElseThrow().targets()).containsExactly(mNear);
    }

    @Example
    void fullTargetsWithTicketsLeadToARequestAboutOthers() {
        prepare(7);
        mFixture.mScheduler.onAdviceResponse(
                new AdviceRequest("j1", 0, 0, List.of(mNear), ADVICE),
                Map.of("near", "ticket-1"),
                mFixture.mNowMillis);
        assertThat(mFixture.starts()).hasSize(4);
        assertThat(nextAdviceRequest().orElseThrow().targets()).containsExactly(mFar);
    }

    private Optional<AdviceRequest> nextAdviceRequest() {
        return mFixture.mScheduler.nextAdviceRequest(mFixture.mNowMillis, mFixture.mNowMillis);
    }

    private void respond(Map<String, String> tickets) {
        mFixture.mScheduler.onAdviceResponse(
                nextAdviceRequest().orElseThrow(), tickets, mFixture.mNowMillis);
    }
}

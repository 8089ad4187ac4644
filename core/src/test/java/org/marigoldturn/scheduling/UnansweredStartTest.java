package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldturn.scheduling.SchedulerFixture.job;
import static org.marigoldturn.scheduling.SchedulerFixture.longRunning;

import java.util.List;
import net.jqwik.api.Example;

/** Guards against a task that never runs after a start without a response. */
class UnansweredStartTest {
    private static final long ORDER_END_TARGET_MILLIS = 5_000;

    private final SchedulerFixture mFixture = new SchedulerFixture();
    private TargetState mTarget;

    /** Guards against a wait for the response to a stop that the target never gives. */
    @Example
    void taskStartsAgainOnceTheOrderIsOutOfDateAtTheTarget() {
        Run run = startWithoutResponse();
        mTarget.onClock(ORDER_END_TARGET_MILLIS, mFixture.mNowMillis);
        mFixture.report(mTarget, List.of());
        assertThat(mFixture.starts()).isEmpty();

        mTarget.onClock(ORDER_END_TARGET_MILLIS + 1, mFixture.mNowMillis);
        mFixture.report(mTarget, List.of());
        assertThat(mTarget.runs()).isEmpty();
        assertThat(mFixture.starts()).isEmpty();
        // There is no other target.
        mFixture.mNowMillis += 2_000;
        assertThat(mFixture.starts())
                .singleElement()
                .matches(again -> again.number() > run.number());
    }

    /** Guards against a task that is started again and again where no order is responded to. */
    @Example
    void taskStartsElsewhereWhileItsFirstTargetRespondsToNoOrder() {
        startWithoutResponse();
        TargetState other = mFixture.addTarget("t2", 4_000);
        mFixture.mScheduler.onStopResponse(
                mTarget.runs().iterator().next(), false, mFixture.mNowMillis);
        mTarget.onClock(ORDER_END_TARGET_MILLIS + 1, mFixture.mNowMillis);
        mFixture.report(mTarget, List.of());
        assertThat(mFixture.starts()).singleElement().extracting(Run::target).isEqualTo(other);
    }

    /** Guards against a second run beside one that was started without a response. */
    @Example
    void runThatIsListedAfterTheOrderIsOutOfDateIsKept() {
        Run run = startWithoutResponse();
        mTarget.onClock(ORDER_END_TARGET_MILLIS + 1, mFixture.mNowMillis);
        mFixture.report(
                mTarget, List.of(new TargetReport.RunReport(run.task(), run.number(), "", 100)));
        assertThat(mTarget.runs()).containsExactly(run);
        assertThat(mFixture.starts()).isEmpty();
    }

    /** Guards against a report that is older than the time at which the order was out of date. */
    @Example
    void reportToAPollThatWasSentBeforeDoesNotCount() {
        startWithoutResponse();
        mTarget.onClock(ORDER_END_TARGET_MILLIS + 1, mFixture.mNowMillis + 100);
        mFixture.report(mTarget, List.of());
        assertThat(mTarget.runs()).hasSize(1);
    }

    private Run startWithoutResponse() {
        mTarget = mFixture.addTarget("t1", 8_000);
        assertThat(mFixture.accept(job("a", "", longRunning(1, 1_000, 1))).accepted()).isTrue();
        Run run = mFixture.starts().get(0);
        run.onOrderSent(ORDER_END_TARGET_MILLIS);
        mFixture.mScheduler.onStartResponse(run, StartOutcome.UNKNOWN, mFixture.mNowMillis);
        assertThat(mTarget.hasUncertainRun()).isTrue();
        mFixture.mNowMillis += 1_000;
        return run;
    }
}

package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldturn.scheduling.SchedulerFixture.job;
import static org.marigoldturn.scheduling.SchedulerFixture.step;

import net.jqwik.api.Example;
import org.marigoldturn.jobs.JobProgress;

/**
 * Guards against an owner that was replaced without knowing it, and concludes that a task does not
 * run or has not been recorded.
 */
class ConfirmedOwnershipTest {
    private static final long LEASE_MILLIS = 4_000;

    private final SchedulerFixture mFixture = new SchedulerFixture(2);
    private final JobScheduler mScheduler = mFixture.mScheduler;

    @Example
    void leaseOfALostTargetEndsOnlyWithALaterConfirmation() {
        TargetState lost = targetWithRun();
        lost.extendLease(mFixture.mNowMillis + LEASE_MILLIS);
        lost.setReachable(false);
        confirm();

        mFixture.mNowMillis += LEASE_MILLIS + 1;
        mScheduler.expireLeases(mFixture.mNowMillis);
        assertWaitsForConfirmation();
        assertThat(mFixture.starts()).hasSize(1);
    }

    @Example
    void taskOfAnEndedTargetStartsAgainOnlyWithALaterConfirmation() {
        TargetState ended = targetWithRun();
        confirm();

        mFixture.mNowMillis += 1;
        mScheduler.onTargetEnded(ended, mFixture.mNowMillis);
        assertWaitsForConfirmation();
        assertThat(mFixture.starts()).hasSize(1);
    }

    @Example
    void taskOfAReplacedIncarnationStartsAgainOnlyWithALaterConfirmation() {
        TargetState ended = targetWithRun();
        confirm();

        mFixture.mNowMillis += 1;
        mScheduler.onTargetListed(
                SchedulerFixture.entry(ended.entry().id(), 2, 1_000), mFixture.mNowMillis);
        assertWaitsForConfirmation();
        assertThat(mFixture.starts()).hasSize(1);
    }

    @Example
    void leasesOfEarlierOwnersEndOnlyWithALaterConfirmation() {
        mScheduler.restore(
                job("a", "account", step(1, 1_000)), JobProgress.NONE, mFixture.mNowMillis);
        mScheduler.onTargetListed(SchedulerFixture.entry("unread", 1, 1_000), mFixture.mNowMillis);
        mFixture.addTarget("read", 1_000);
        confirm();

        mFixture.mNowMillis += SchedulerFixture.LONGEST_LEASE_MILLIS;
        assertWaitsForConfirmation();
        assertThat(mFixture.starts()).hasSize(1);
    }

    /** Returns the target of the only run; another target is free. */
    private TargetState targetWithRun() {
        TargetState target = mFixture.addTarget("t1", 1_000);
        mFixture.accept(job("a", "account", step(1, 1_000)));
        mFixture.started(mFixture.starts());
        mFixture.report(target);
        mFixture.addTarget("t2", 1_000);
        return target;
    }

    private void assertWaitsForConfirmation() {
        assertThat(mFixture.starts()).isEmpty();
        assertThat(mScheduler.lacksConfirmation(mFixture.mNowMillis)).isTrue();
        confirm();
        mScheduler.expireLeases(mFixture.mNowMillis);
        assertThat(mScheduler.lacksConfirmation(mFixture.mNowMillis)).isFalse();
    }

    /** Confirms that no other daemon was the owner at the present time. */
    private void confirm() {
        mScheduler.setOwnership(true, mFixture.mNowMillis);
    }
}

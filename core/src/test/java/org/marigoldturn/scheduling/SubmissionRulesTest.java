package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import net.jqwik.api.Example;
import org.marigoldturn.jobs.AccountSettings;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.ResourceAmounts;

/** Guards against refusals that never end, that room contradicts, or that name a useless delay. */
class SubmissionRulesTest {
    private static final long CORE_MILLICORES = 1_000;
    private static final long MAX_TRIES = 20;

    private final SchedulerFixture mFixture = new SchedulerFixture();

    private static Job job(String id, String account, int tasks) {
        return SchedulerFixture.job(id, account, SchedulerFixture.step(tasks, CORE_MILLICORES));
    }

    private void setWeight(double weight) {
        mFixture.mScheduler.setCatalog(
                SchedulerFixture.catalog(
                        new AccountSettings(
                                "account",
                                Set.of("key"),
                                weight,
                                new ResourceAmounts(8 * CORE_MILLICORES, 0, 0))));
    }

    /** Guards against a job that is refused for good because it was refused once. */
    @Example
    void jobThatReturnsAfterItWasUsefulIsServedLikeANewOne() {
        mFixture.addTarget("t", 8 * CORE_MILLICORES);
        mFixture.accept(job("burst", "", 8));
        assertThat(mFixture.accept(job("returning", "", 8)).accepted()).isFalse();
        mFixture.mScheduler.cancel("burst", mFixture.mNowMillis);
        assertThat(mFixture.accept(job("steady", "", 4)).accepted()).isTrue();

        boolean accepted = false;
        for (int i = 0; i < MAX_TRIES && !accepted; i++) {
            mFixture.mNowMillis += 1_000;
            accepted = mFixture.accept(job("returning", "", 8)).accepted();
        }

        assertThat(accepted).isTrue();
    }

    /** Guards against room that stays idle for an account whose limit keeps it from using it. */
    @Example
    void readyTasksOfAnAccountAtItsLimitClaimNoRoom() {
        setWeight(0);
        mFixture.addTarget("t", 40 * CORE_MILLICORES);
        assertThat(mFixture.accept(job("limited", "account", 90)).accepted()).isTrue();
        assertThat(mFixture.starts()).hasSize(8);

        assertThat(mFixture.accept(job("other", "", 16)).accepted()).isTrue();
    }

    /** Guards against a retry that comes before the entitlement allows it. */
    @Example
    void retryComesOnceTheEntitlementAllowsAJob() {
        setWeight(0.5);
        mFixture.mScheduler.setEntitlementWindow(1_000);
        mFixture.addTarget("t", 8 * CORE_MILLICORES);
        mFixture.accept(job("within", "account", 8));

        mFixture.mNowMillis += 100;
        Admission admission = mFixture.accept(job("b", "account", 8));

        assertThat(admission.reason()).isEqualTo(Admission.OVER_ENTITLEMENT);
        assertThat(admission.retryAfterSeconds()).isGreaterThanOrEqualTo(2);
    }
}

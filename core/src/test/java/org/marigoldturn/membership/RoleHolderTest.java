package org.marigoldturn.membership;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.marigoldturn.store.FakeStore;

/** Tests a role that is held through a lease, with pauses, outages and lost replies. */
class RoleHolderTest {
    private long mNowMillis;
    private final FakeStore mStore = new FakeStore(() -> mNowMillis);
    private final FakeStore.Connection mConnectionA = mStore.new Connection();
    private final RoleHolder mA = holder("a", mConnectionA);
    private final RoleHolder mB = holder("b", mStore.new Connection());

    private static RoleHolder holder(String id, FakeStore.Connection connection) {
        return new RoleHolder(connection, "/m/", "planner", id, Runnable::run);
    }

    private void run(long millis, RoleHolder... ticking) {
        for (long end = mNowMillis + millis; mNowMillis < end; mNowMillis += 500) {
            for (RoleHolder holder : ticking) {
                holder.tick(mNowMillis * 1_000_000);
            }
            assertThat(holds(mA) && holds(mB)).as("both hold at " + mNowMillis).isFalse();
        }
    }

    private boolean holds(RoleHolder holder) {
        return holder.holds(mNowMillis * 1_000_000);
    }

    @Example
    void oneOfTwoHoldsTheRoleAndKeepsIt() {
        run(60_000, mA, mB);
        assertThat(holds(mA)).isTrue();
    }

    /** Guards against a paused holder that still claims the role when it resumes. */
    @Example
    void aPausedHolderLosesTheRoleToTheOther() {
        run(2_000, mA, mB);
        run(12_000, mB);
        assertThat(holds(mA)).isFalse();
        assertThat(holds(mB)).isTrue();

        run(12_000, mA, mB);
        assertThat(holds(mB)).isTrue();
    }

    @Example
    void aHolderWithoutTheStoreStopsBeforeTheLeaseEnds() {
        run(2_000, mA, mB);
        mConnectionA.setReachable(false);
        run(RoleHolder.LEASE_TTL_MILLIS - 1_000, mA);
        assertThat(holds(mA)).isFalse();

        run(6_000, mA, mB);
        assertThat(holds(mB)).isTrue();
    }

    /**
     * Guards against a role that stays blocked until a restart, because its key was written but the
     * reply was lost.
     */
    @Example
    void aLostReplyDoesNotBlockTheRole() {
        mConnectionA.setLosesResponses(true);
        run(4_000, mA);
        assertThat(holds(mA)).isFalse();
        mConnectionA.setLosesResponses(false);

        run(12_000, mA);
        assertThat(holds(mA)).isTrue();
    }

    @Example
    void aReleasedRoleIsFreeAtOnce() {
        run(2_000, mA, mB);
        mA.release();
        run(2_500, mA, mB);
        assertThat(holds(mB)).isTrue();
    }
}

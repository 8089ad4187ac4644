package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/**
 * Guards against an owner that acts for too long without the store, by either of the two clocks.
 */
class OwnershipLeaseTest {
    private static final long EPOCH_MILLIS = 1_800_000_000_000L;

    private final OwnershipLease mLease = new OwnershipLease();

    @Example
    void ownershipIsNotCertainBeforeItIsConfirmed() {
        assertThat(mLease.isCertain(0, EPOCH_MILLIS)).isFalse();
        assertThat(mLease.mayAct(0, EPOCH_MILLIS)).isFalse();
    }

    @Example
    void ownershipIsCertainForTheLengthOfTheLease() {
        mLease.confirm(1_000, EPOCH_MILLIS);
        assertThat(mLease.isCertain(3_499, EPOCH_MILLIS + 2_499)).isTrue();
        assertThat(mLease.isCertain(3_500, EPOCH_MILLIS + 2_500)).isFalse();
    }

    @Example
    void ownerContinuesToActForABoundedTime() {
        mLease.confirm(1_000, EPOCH_MILLIS);
        assertThat(mLease.mayAct(7_499, EPOCH_MILLIS + 6_499)).isTrue();
        assertThat(mLease.mayAct(7_500, EPOCH_MILLIS + 6_500)).isFalse();
    }

    @Example
    void suspendedHostIsDetectedByTheWallClock() {
        mLease.confirm(1_000, EPOCH_MILLIS);
        assertThat(mLease.isCertain(1_001, EPOCH_MILLIS + 6_000)).isFalse();
        assertThat(mLease.mayAct(1_001, EPOCH_MILLIS + 7_000)).isFalse();
    }
}

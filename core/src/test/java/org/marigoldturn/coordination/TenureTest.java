package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** An owner without the store trusts itself for a bounded time, on both clocks. */
class TenureTest {
    private static final long EPOCH_MILLIS = 1_800_000_000_000L;

    private final Tenure mTenure = new Tenure();

    @Example
    void claimIsNotCertainBeforeItIsConfirmed() {
        assertThat(mTenure.isCertain(0, EPOCH_MILLIS)).isFalse();
        assertThat(mTenure.mayAct(0, EPOCH_MILLIS)).isFalse();
    }

    @Example
    void claimIsCertainForTheLengthOfTheLease() {
        mTenure.confirm(1_000, EPOCH_MILLIS);
        assertThat(mTenure.isCertain(3_499, EPOCH_MILLIS + 2_499)).isTrue();
        assertThat(mTenure.isCertain(3_500, EPOCH_MILLIS + 2_500)).isFalse();
    }

    @Example
    void ownerActsOnForABoundedTime() {
        mTenure.confirm(1_000, EPOCH_MILLIS);
        assertThat(mTenure.mayAct(7_499, EPOCH_MILLIS + 6_499)).isTrue();
        assertThat(mTenure.mayAct(7_500, EPOCH_MILLIS + 6_500)).isFalse();
    }

    @Example
    void suspendedHostIsFoundByTheTimeOfDay() {
        mTenure.confirm(1_000, EPOCH_MILLIS);
        assertThat(mTenure.isCertain(1_001, EPOCH_MILLIS + 6_000)).isFalse();
        assertThat(mTenure.mayAct(1_001, EPOCH_MILLIS + 7_000)).isFalse();
    }
}

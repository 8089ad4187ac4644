package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Guards against accounts that submit more than they are entitled to at the expense of others. */
class EntitlementMeterTest {
    private static final double JOBS_PER_SECOND = 2;

    private final EntitlementMeter mMeter = new EntitlementMeter(5_000);

    @Example
    void savesUpNoMoreThanTheWindow() {
        long now = 1_000_000;
        for (int i = 0; i < 10; i++) {
            assertThat(mMeter.allows("a", JOBS_PER_SECOND, now)).isTrue();
            mMeter.recordAccepted("a", JOBS_PER_SECOND, now);
        }
        assertThat(mMeter.allows("a", JOBS_PER_SECOND, now)).isFalse();
        assertThat(mMeter.millisUntilAllowed("a", JOBS_PER_SECOND, now)).isEqualTo(500);
        assertThat(mMeter.allows("a", JOBS_PER_SECOND, now + 500)).isTrue();
        assertThat(mMeter.allows("b", JOBS_PER_SECOND, now)).isTrue();
    }

    @Example
    void lowRateStillAllowsOneJob() {
        assertThat(mMeter.allows("a", 0.01, 0)).isTrue();
        mMeter.recordAccepted("a", 0.01, 0);
        assertThat(mMeter.allows("a", 0.01, 50_000)).isFalse();
        assertThat(mMeter.allows("a", 0.01, 100_000)).isTrue();
    }
}

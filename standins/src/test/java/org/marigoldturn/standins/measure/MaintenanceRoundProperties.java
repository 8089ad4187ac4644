package org.marigoldturn.standins.measure;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** Tests six weeks of maintenance at the design size, in virtual time. */
class MaintenanceRoundProperties {
    private static final long INTERVAL_MILLIS = 42 * FleetTimeline.DAY_MILLIS;

    /**
     * Guards against hosts that are not maintained in six weeks, plans that exceed a budget, and
     * drains that exceed it.
     */
    @Property(tries = 4, seed = "1700")
    void everyHostIsMaintainedWithinSixWeeksWithinBudgets(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed, @ForAll boolean steady) {
        MaintenanceRound.Result planned = MaintenanceRound.planned(seed, steady);
        assertThat(planned.mMaintained).isEqualTo(MaintenanceRound.HOSTS);
        assertThat(planned.mRoundMillis).isPositive();
        assertThat(planned.mLongestSinceMaintenanceMillis).isLessThanOrEqualTo(INTERVAL_MILLIS);
        assertThat(planned.mPlansOverBudget).isZero();
        assertThat(planned.mOverByDrainsServiceMinutes).isZero();
    }
}

package org.marigoldturn.standins.measure;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests the start of urgent requests in a pool that is full of ordinary ones. */
class UrgentStartProperties {
    private static final int MEAN_RUN_MILLIS = 5_000;

    /** Guards against urgent requests that wait behind the queues of all other teams. */
    @Property(tries = 4, seed = "4730")
    void urgentWorkStartsWithinTheTargetAtTheDesignSize(
            @ForAll long seed, @ForAll boolean everywhere) {
        assertThat(
                        UrgentMeasurement.longestWaitMillis(
                                UrgentMeasurement.DESIGN_HOSTS_PER_POOL,
                                MEAN_RUN_MILLIS,
                                everywhere,
                                seed))
                .isLessThanOrEqualTo(UrgentMeasurement.TARGET_MILLIS);
    }
}

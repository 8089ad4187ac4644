package org.marigoldturn.standins.measure;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards the start of urgent work in a pool that is full with ordinary work. */
class UrgentStartProperties {
    private static final int MEAN_RUN_MILLIS = 5_000;

    /** Urgent work would wait behind the queues of all other teams without its priority. */
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

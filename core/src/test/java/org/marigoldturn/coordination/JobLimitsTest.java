package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.Example;

/** Guards against limits that the scheduler cannot use. */
class JobLimitsTest {
    @Example
    void farFactorIsOneUnlessGivenAndNeverLess() {
        assertThat(new JobLimits(6_000, 1_000).farFactor()).isEqualTo(1);
        assertThatThrownBy(() -> new JobLimits(6_000, 1_000, 0, 0.5)).hasMessageContaining("0.5");
        assertThatThrownBy(() -> new JobLimits(6_000, 1_000, 0, Double.NaN))
                .hasMessageContaining("NaN");
    }
}

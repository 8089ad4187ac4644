package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Guards against an ownership that goes to a daemon that stops soon or runs on a slow host. */
class TakeoverDelayTest {
    @Example
    void youngDaemonAttemptsBeforeOldOnesWhateverTheJitter() {
        long notYet = TakeoverDelay.millis(16_000, 0.75, 0);
        assertThat(TakeoverDelay.millis(1_000, 0.75, 59)).isLessThan(notYet);
        assertThat(TakeoverDelay.millis(3_600_000, 1.0, 0)).isLessThanOrEqualTo(120);
    }

    @Example
    void daemonOnAFastHostAttemptsBeforeOneOfTheSameAgeOnASlowHostWhateverTheJitter() {
        long slow = TakeoverDelay.millis(5_000, 0.36, 0);
        assertThat(TakeoverDelay.millis(5_000, 0.75, 59)).isLessThan(slow);
        assertThat(TakeoverDelay.millis(5_000, 1.5, 59)).isLessThan(slow);
        assertThat(TakeoverDelay.millis(3_600_000, 0.01, 59)).isLessThan(500);
    }
}

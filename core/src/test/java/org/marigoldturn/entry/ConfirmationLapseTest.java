package org.marigoldturn.entry;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Guards against queued requests that are refused after a pause, or never. */
class ConfirmationLapseTest {
    private static final long GRACE = ConfirmationLapse.GRACE_NANOS;

    private final ConfirmationLapse mLapse = new ConfirmationLapse();

    @Example
    void aShortLapseRefusesNothing() {
        assertThat(mLapse.lasts(false, 5)).isFalse();
        assertThat(mLapse.lasts(false, 4 + GRACE)).isFalse();
        assertThat(mLapse.lasts(true, 5 + GRACE)).isFalse();
        assertThat(mLapse.lasts(false, 6 + GRACE)).isFalse();
    }

    @Example
    void aLastingLapseRefuses() {
        assertThat(mLapse.lasts(false, 5)).isFalse();
        assertThat(mLapse.lasts(false, 5 + GRACE)).isTrue();
        assertThat(mLapse.lasts(false, 6 + GRACE)).isTrue();
    }

    @Example
    void aLapseThatWasNotCheckedMeanwhileIsNew() {
        assertThat(mLapse.lasts(false, 5)).isFalse();
        assertThat(mLapse.lasts(false, 6 + GRACE)).isFalse();
        assertThat(mLapse.lasts(false, 6 + 2 * GRACE)).isTrue();
    }
}

package org.marigoldturn.entry;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/**
 * Guards against queued requests that are refused after a short pause of the daemon, or that are
 * never refused.
 */
class ConfirmationTimeoutTest {
    private static final long GRACE = ConfirmationTimeout.GRACE_NANOS;

    private final ConfirmationTimeout mTimeout = new ConfirmationTimeout();

    @Example
    void timeoutDoesNotElapseIfTheConfirmationReturnsInTime() {
        assertThat(mTimeout.hasElapsed(false, 5)).isFalse();
        assertThat(mTimeout.hasElapsed(false, 4 + GRACE)).isFalse();
        assertThat(mTimeout.hasElapsed(true, 5 + GRACE)).isFalse();
        assertThat(mTimeout.hasElapsed(false, 6 + GRACE)).isFalse();
    }

    @Example
    void timeoutElapsesAfterTheGraceTime() {
        assertThat(mTimeout.hasElapsed(false, 5)).isFalse();
        assertThat(mTimeout.hasElapsed(false, 5 + GRACE)).isTrue();
        assertThat(mTimeout.hasElapsed(false, 6 + GRACE)).isTrue();
    }

    @Example
    void timeoutStartsAgainAfterALongerTimeWithoutChecks() {
        assertThat(mTimeout.hasElapsed(false, 5)).isFalse();
        assertThat(mTimeout.hasElapsed(false, 6 + GRACE)).isFalse();
        assertThat(mTimeout.hasElapsed(false, 6 + 2 * GRACE)).isTrue();
    }
}

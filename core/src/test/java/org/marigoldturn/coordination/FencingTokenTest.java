package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.Example;

/** Guards against calls of an earlier owner or contact that a target does not reject. */
class FencingTokenTest {
    @Example
    void tokensRiseWithEachContactAndOverOwners() {
        assertThat(FencingToken.of(3, 2)).isGreaterThan(FencingToken.of(3, 1));
        assertThat(FencingToken.of(4, 0))
                .isGreaterThan(FencingToken.of(3, FencingToken.MAX_CONTACT));
    }

    @Example
    void aContactOutOfRangeIsRejected() {
        assertThatThrownBy(() -> FencingToken.of(3, FencingToken.MAX_CONTACT + 1))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining(String.valueOf(FencingToken.MAX_CONTACT + 1));
    }

    @Example
    void aTermEndsBeforeItsContactsAreUsedUp() {
        assertThat(FencingToken.hasNext(1_000)).isTrue();
        assertThat(FencingToken.hasNext(FencingToken.MAX_CONTACT - 1)).isFalse();
    }
}

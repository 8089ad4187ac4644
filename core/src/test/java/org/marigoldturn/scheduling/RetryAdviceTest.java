package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;

/** Guards against delays after which the client's deadline is over, and against joint returns. */
class RetryAdviceTest {
    @Example
    void clientComesBackBeforeItsDeadline() {
        assertThat(RetryAdvice.seconds("a", 10_000, 2_700)).isEqualTo(2);
        assertThat(RetryAdvice.seconds("a", 10_000, 1_000)).isEqualTo(1);
        assertThat(RetryAdvice.seconds("a", 10_000, 0))
                .isEqualTo(Admission.MAX_RETRY_AFTER_SECONDS);
    }

    @Example
    void clientsRefusedAtTheSameTimeAreSpread() {
        var counts =
                IntStream.range(0, 1_000)
                        .mapToObj(i -> RetryAdvice.seconds("job" + i, 1_200, 3_000))
                        .collect(Collectors.groupingBy(s -> s, Collectors.counting()));
        assertThat(counts).containsOnlyKeys(1, 2);
        assertThat(counts.get(1)).isBetween(300L, 700L);
    }
}

package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against scheduling passes that take the whole control thread when each of hundreds of
 * events a second asks for one.
 */
class SchedulingPaceTest {
    private static final long SECOND_MILLIS = 1_000;

    @Example
    void firstPassAndOneAfterAQuietTimeBeginAtOnce() {
        SchedulingPace pace = new SchedulingPace();
        assertThat(pace.delayMillis(5)).isZero();
        pace.onPass(5, 7);
        assertThat(pace.delayMillis(5 + SECOND_MILLIS)).isZero();
    }

    @Property(seed = "20261205", tries = 200)
    void passesLeaveMostOfTheThreadToOtherWorkHoweverOftenTheyAreAskedFor(
            @ForAll @IntRange(min = 0, max = 30) int passMillis) {
        SchedulingPace pace = new SchedulingPace();
        int passes = 0;
        long nowMillis = 0;
        while (nowMillis < SECOND_MILLIS) {
            nowMillis += pace.delayMillis(nowMillis);
            pace.onPass(nowMillis, nowMillis + passMillis);
            nowMillis += passMillis;
            passes++;
        }
        assertThat(passes * SchedulingPace.MIN_INTERVAL_MILLIS)
                .isLessThanOrEqualTo(SECOND_MILLIS + SchedulingPace.MIN_INTERVAL_MILLIS);
        long elapsedMillis = nowMillis + pace.delayMillis(nowMillis);
        long shareDivisor = SchedulingPace.PAUSE_PER_DURATION + 1;
        assertThat(passes * (long) passMillis * shareDivisor).isLessThanOrEqualTo(elapsedMillis);
    }

    @Example
    void passOfAProcessThatWasFrozenDoesNotHoldUpTheNextOneForLong() {
        SchedulingPace pace = new SchedulingPace();
        pace.onPass(0, 9_000);
        assertThat(pace.delayMillis(9_000)).isEqualTo(SchedulingPace.MAX_PAUSE_MILLIS);
    }
}

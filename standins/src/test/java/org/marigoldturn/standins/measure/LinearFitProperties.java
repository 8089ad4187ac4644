package org.marigoldturn.standins.measure;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.UniqueElements;
import org.marigoldturn.standins.measure.LinearFit.Point;

/** Guards against wrong slopes, which would give wrong extrapolations to the design size. */
class LinearFitProperties {
    @Property
    void aLineThroughPointsOnALineIsThatLine(
            @ForAll @IntRange(min = -1000, max = 1000) int slope,
            @ForAll @IntRange(min = -1000, max = 1000) int intercept,
            @ForAll @Size(min = 2, max = 6) @UniqueElements
                    List<@IntRange(min = 0, max = 2000) Integer> xs) {
        LinearFit fit =
                LinearFit.of(
                        xs.stream()
                                .map(x -> new Point(x, slope * (double) x + intercept))
                                .toList());
        assertThat(fit.slope()).isCloseTo(slope, within(1e-6));
        assertThat(fit.at(1_700)).isCloseTo(slope * 1_700.0 + intercept, within(1e-2));
    }

    @Example
    void pointsOffTheLineGiveTheLeastSquaresLine() {
        LinearFit fit = LinearFit.of(List.of(new Point(0, 0), new Point(1, 2), new Point(2, 1)));
        assertThat(fit.slope()).isCloseTo(0.5, within(1e-9));
        assertThat(fit.intercept()).isCloseTo(0.5, within(1e-9));
    }

    @Example
    void pointsWithOneXHaveNoSlope() {
        assertThatThrownBy(() -> LinearFit.of(List.of(new Point(3, 1), new Point(3, 2))))
                .isInstanceOf(IllegalArgumentException.class);
    }
}

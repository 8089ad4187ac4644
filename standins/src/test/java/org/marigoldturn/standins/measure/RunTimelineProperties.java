package org.marigoldturn.standins.measure;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.marigoldturn.standins.TargetRecords.Run;

/** Guards against figures that hide an excess over a limit or lost running time. */
class RunTimelineProperties {
    @Property
    void largestRunningAndBusyTimeAgreeWithCountingEachMillisecond(
            @ForAll @Size(max = 12) List<@IntRange(min = 0, max = 399) Integer> codes) {
        List<Run> runs = codes.stream().map(c -> run(1 + c / 20, 1 + c / 20 + c % 20)).toList();
        long largest = LongStream.range(0, 50).map(at -> runningAt(runs, at)).max().orElseThrow();
        long busy = LongStream.range(5, 25).map(at -> runningAt(runs, at)).sum();
        // A run of zero milliseconds overlaps no other run.
        List<Run> counted =
                runs.stream().filter(r -> r.endedAtMillis() > r.startedAtMillis()).toList();
        assertThat(RunTimeline.largestRunning(counted)).isEqualTo((int) largest);
        assertThat(RunTimeline.busyMillis(runs, 5, 25)).isEqualTo(busy);
    }

    @Example
    void aRunWithoutEndCountsToTheEndOfTheWindow() {
        List<Run> runs = List.of(run(10, 0), run(12, 14));
        assertThat(RunTimeline.largestRunning(runs)).isEqualTo(2);
        assertThat(RunTimeline.busyMillis(runs, 0, 20)).isEqualTo(12);
    }

    private static long runningAt(List<Run> runs, long atMillis) {
        return runs.stream()
                .filter(r -> r.startedAtMillis() <= atMillis && atMillis < r.endedAtMillis())
                .count();
    }

    private static Run run(long startedAtMillis, long endedAtMillis) {
        return new Run("", "", "club", false, startedAtMillis, endedAtMillis);
    }
}

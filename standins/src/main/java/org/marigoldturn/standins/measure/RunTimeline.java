package org.marigoldturn.standins.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.marigoldturn.standins.TargetRecords.Run;

/** Computes figures from the records of the targets. Stateless. */
final class RunTimeline {
    private record Step(long atMillis, int change) {}

    private RunTimeline() {}

    /** Returns the largest number of runs at one time; at equal times, ends count before starts. */
    static int largestRunning(List<Run> runs) {
        List<Step> steps = new ArrayList<>();
        for (Run run : runs) {
            steps.add(new Step(run.startedAtMillis(), 1));
            if (run.endedAtMillis() != 0) {
                steps.add(new Step(run.endedAtMillis(), -1));
            }
        }
        steps.sort(Comparator.comparingLong(Step::atMillis).thenComparingInt(Step::change));
        int running = 0;
        int largest = 0;
        for (Step step : steps) {
            running += step.change();
            largest = Math.max(largest, running);
        }
        return largest;
    }

    /** Returns the total time that runs occupied slots between two times, in slot milliseconds. */
    static long busyMillis(List<Run> runs, long fromMillis, long toMillis) {
        long busy = 0;
        for (Run run : runs) {
            long end = run.endedAtMillis() == 0 ? toMillis : run.endedAtMillis();
            long from = Math.max(fromMillis, run.startedAtMillis());
            busy += Math.max(0, Math.min(toMillis, end) - from);
        }
        return busy;
    }
}

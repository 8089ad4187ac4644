package org.marigoldturn.standins.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import org.marigoldturn.standins.TargetRecords.Run;

/**
 * Measures how far a team limit is used when all requests arrive at one of five daemons, and then
 * at another one. The baseline divides the limit equally among the daemons.
 */
final class LimitMeasurement {
    private static final int DAEMONS = 5;
    private static final int RUN_MILLIS = 200;
    private static final long SETTLE_MILLIS = 5_000;
    private static final long WINDOW_MILLIS = 5_000;
    private static final int BURST_SECONDS = (int) (SETTLE_MILLIS + WINDOW_MILLIS) / 1_000;

    private LimitMeasurement() {}

    static void run(long seed, PrintStream out) throws IOException, InterruptedException {
        Figures figures = new Figures("limit", out);
        for (int limit : new int[] {10, 40}) {
            measure(figures, limit, (int) Math.floorMod(seed, (long) DAEMONS));
            figures.print(
                    limit + ".baseline-static-division-computed",
                    100.0 / DAEMONS,
                    "percent_of_limit");
        }
    }

    private static void measure(Figures figures, int limit, int first)
            throws IOException, InterruptedException {
        try (MeasuredFleet fleet = new MeasuredFleet("limit")) {
            String service = MeasuredFleet.SERVICE;
            fleet.service(service).team("probe", 10).team("club", limit).hosts(service, 12, 8);
            fleet.start(DAEMONS, service, "probe");
            burst(figures, fleet, limit, first, limit + ".first-daemon");
            burst(figures, fleet, limit, (first + 2) % DAEMONS, limit + ".moved-to-other-daemon");
            List<Run> runs = runs(fleet);
            figures.print(limit + ".largest-at-once", RunTimeline.largestRunning(runs), "requests");
            figures.print(
                    limit + ".excess",
                    Math.max(0, RunTimeline.largestRunning(runs) - limit),
                    "requests");
        }
    }

    private static void burst(
            Figures figures, MeasuredFleet fleet, int limit, int daemon, String name)
            throws InterruptedException {
        long start = System.currentTimeMillis();
        try (ClosedLoad load =
                new ClosedLoad(
                        2 * limit,
                        0,
                        i -> fleet.sendAs(daemon, "club", MeasuredFleet.SERVICE, RUN_MILLIS))) {
            Thread.sleep(SETTLE_MILLIS + WINDOW_MILLIS);
            long from = start + SETTLE_MILLIS;
            double busy = RunTimeline.busyMillis(runs(fleet), from, from + WINDOW_MILLIS);
            figures.print(
                    name + ".use-after-5s",
                    100.0 * busy / WINDOW_MILLIS / limit,
                    "percent_of_limit");
            for (int second = 1; second <= BURST_SECONDS; second++) {
                long to = start + second * 1_000L;
                figures.print(
                        name + ".use-in-second-" + second,
                        RunTimeline.busyMillis(runs(fleet), to - 1_000, to) / 10.0 / limit,
                        "percent_of_limit");
            }
            figures.print(name + ".failed", load.failed(), "requests");
        }
    }

    private static List<Run> runs(MeasuredFleet fleet) {
        return fleet.processes().records().stream()
                .filter(run -> run.team().equals("club"))
                .toList();
    }
}

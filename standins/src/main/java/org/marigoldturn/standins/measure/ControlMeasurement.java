package org.marigoldturn.standins.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.ToIntFunction;
import org.marigoldturn.standins.measure.LinearFit.Point;

/**
 * Measures the cost of control per daemon, idle and under small load, at several sizes of the
 * fleet, and extrapolates to the design size from the fitted slopes.
 *
 * <p>One host runs in each pool with a service; the other hosts only exist in the settings, in a
 * pool without a service.
 */
final class ControlMeasurement {
    /** After 8 s, JIT compilation still takes a third of the processor time of a new daemon. */
    private static final long SETTLE_MILLIS = 30_000;

    private static final long WARM_UP_MILLIS = 10_000;
    private static final long WINDOW_MILLIS = 12_000;

    /** Processor time is counted per process; other fleets in parallel do not add to it. */
    private static final int PARALLEL_FLEETS = 5;

    private static final int CLIENTS_PER_DAEMON = 8;
    private static final long CLIENT_PAUSE_MILLIS = 200;
    private static final int RUN_MILLIS = 10;
    private static final int FIRST_PORT_OF_ABSENT_HOSTS = 2_000;
    private static final List<ControlSize> SIZES =
            List.of(
                    ControlSize.BASE,
                    new ControlSize(6, 35, 6, 5),
                    new ControlSize(9, 35, 6, 5),
                    new ControlSize(3, 200, 6, 5),
                    new ControlSize(3, 800, 6, 5),
                    new ControlSize(3, 1_700, 6, 5),
                    new ControlSize(3, 35, 51, 5),
                    new ControlSize(3, 130, 6, 95),
                    ControlSize.DESIGN);

    private static final Map<String, ToIntFunction<ControlSize>> DIMENSIONS = new LinkedHashMap<>();

    static {
        // Pools come last: their run has more hosts than the base, which is corrected for with the
        // slope of the hosts.
        DIMENSIONS.put("daemons", ControlSize::daemons);
        DIMENSIONS.put("hosts", ControlSize::hosts);
        DIMENSIONS.put("teams", ControlSize::teams);
        DIMENSIONS.put("pools", ControlSize::pools);
    }

    private ControlMeasurement() {}

    static void run(long seed, PrintStream out) throws InterruptedException, ExecutionException {
        Figures figures = new Figures("control", out);
        Map<ControlSize, Map<String, Double>> measured = measureAll(seed);
        for (ControlSize size : SIZES) {
            measured.get(size)
                    .forEach(
                            (name, value) ->
                                    print(figures, "measured." + size.label(), name, value));
        }
        for (String name : measured.get(ControlSize.BASE).keySet()) {
            extrapolate(figures, measured, name);
        }
    }

    private static Map<ControlSize, Map<String, Double>> measureAll(long seed)
            throws InterruptedException, ExecutionException {
        ExecutorService executor = Executors.newFixedThreadPool(PARALLEL_FLEETS);
        try {
            Map<ControlSize, Future<Map<String, Double>>> pending = new LinkedHashMap<>();
            for (ControlSize size : SIZES) {
                pending.put(size, executor.submit(() -> measure(size, seed)));
            }
            Map<ControlSize, Map<String, Double>> measured = new LinkedHashMap<>();
            for (ControlSize size : SIZES) {
                measured.put(size, pending.get(size).get());
            }
            return measured;
        } finally {
            executor.shutdownNow();
        }
    }

    private static Map<String, Double> measure(ControlSize size, long seed)
            throws IOException, InterruptedException {
        try (MeasuredFleet fleet = new MeasuredFleet("control")) {
            prepare(fleet, size);
            fleet.start(size.daemons(), "p0", "t0");
            Thread.sleep(SETTLE_MILLIS);
            Map<String, Double> values = new TreeMap<>();
            measureWindow(fleet).forEach((name, value) -> values.put("idle." + name, value));
            Random random = new Random(seed);
            try (ClosedLoad load =
                    new ClosedLoad(
                            CLIENTS_PER_DAEMON * size.daemons(),
                            CLIENT_PAUSE_MILLIS,
                            i ->
                                    fleet.sendAs(
                                            i % size.daemons(),
                                            "t" + random.nextInt(size.teams()),
                                            "p" + random.nextInt(size.pools() - 1),
                                            RUN_MILLIS))) {
                Thread.sleep(WARM_UP_MILLIS);
                long before = load.succeeded();
                measureWindow(fleet).forEach((name, value) -> values.put("load." + name, value));
                double requests = load.succeeded() - before;
                values.put(
                        "load.requests.mean.requests_per_s",
                        requests * 1e3 / WINDOW_MILLIS / size.daemons());
                values.put("load.failed.total.requests", (double) load.failed());
            }
            return values;
        }
    }

    private static void prepare(MeasuredFleet fleet, ControlSize size) {
        int servingPools = size.pools() - 1;
        for (int pool = 0; pool < servingPools; pool++) {
            fleet.service("p" + pool).hosts("p" + pool, 1, 64);
        }
        fleet.yaml().pool("records");
        for (int host = 0; host < size.hosts() - servingPools; host++) {
            fleet.host("r" + host, "records", host, FIRST_PORT_OF_ABSENT_HOSTS + host, 8);
        }
        for (int team = 0; team < size.teams(); team++) {
            fleet.team("t" + team, 40);
        }
    }

    private static Map<String, Double> measureWindow(MeasuredFleet fleet)
            throws IOException, InterruptedException {
        ControlSample from = ControlSample.of(fleet);
        Thread.sleep(WINDOW_MILLIS);
        return from.ratesUntil(ControlSample.of(fleet));
    }

    private static void extrapolate(
            Figures figures, Map<ControlSize, Map<String, Double>> measured, String name) {
        double base = measured.get(ControlSize.BASE).getOrDefault(name, 0.0);
        double design = base;
        double hostSlope = 0;
        for (Map.Entry<String, ToIntFunction<ControlSize>> dimension : DIMENSIONS.entrySet()) {
            boolean pools = dimension.getKey().equals("pools");
            double slope = slope(measured, name, dimension, pools ? hostSlope : 0);
            hostSlope = dimension.getKey().equals("hosts") ? slope : hostSlope;
            design +=
                    slope
                            * (dimension.getValue().applyAsInt(ControlSize.DESIGN)
                                    - dimension.getValue().applyAsInt(ControlSize.BASE));
            print(figures, "slope.per-1000-" + dimension.getKey(), name, 1_000 * slope);
        }
        print(figures, "extrapolated." + ControlSize.DESIGN.label(), name, design);
    }

    private static double slope(
            Map<ControlSize, Map<String, Double>> measured,
            String name,
            Map.Entry<String, ToIntFunction<ControlSize>> dimension,
            double hostSlope) {
        List<Point> points = new ArrayList<>();
        int base = dimension.getValue().applyAsInt(ControlSize.BASE);
        measured.forEach(
                (size, values) -> {
                    int x = dimension.getValue().applyAsInt(size);
                    boolean varied = x != base && !size.equals(ControlSize.DESIGN);
                    if (varied && countsFor(dimension.getKey(), size)
                            || size.equals(ControlSize.BASE)) {
                        double hosts = hostSlope * (size.hosts() - ControlSize.BASE.hosts());
                        points.add(new Point(x, values.getOrDefault(name, 0.0) - hosts));
                    }
                });
        return LinearFit.of(points).slope();
    }

    /**
     * Returns whether a run counts for the slope of a dimension. The run with many pools has more
     * hosts as well, and counts for the pools only.
     */
    private static boolean countsFor(String dimension, ControlSize size) {
        return dimension.equals("pools") || size.pools() == ControlSize.BASE.pools();
    }

    private static void print(Figures figures, String prefix, String name, double value) {
        int unit = name.lastIndexOf('.');
        figures.print(prefix + "." + name.substring(0, unit), value, name.substring(unit + 1));
    }
}

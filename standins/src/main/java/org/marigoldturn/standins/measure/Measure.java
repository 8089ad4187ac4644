package org.marigoldturn.standins.measure;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Runs measurements by name and prints their figures as lines {@code name value unit}. */
public final class Measure {
    private static final String DEFAULT_SEED = "1";

    private interface Measurement {
        void run(long seed, PrintStream out) throws Exception;
    }

    private Measure() {}

    /** Runs the measurements in {@code [NAME...] [--seed N]}; all if none is named. */
    public static void main(String[] args) throws Exception {
        Options options = new Options();
        options.addOption(Option.builder().longOpt("seed").hasArg().argName("N").build());
        CommandLine line = parse(options, args);
        long seed = Long.parseLong(line.getOptionValue("seed", DEFAULT_SEED));
        Map<String, Measurement> all = measurements();
        List<String> names =
                line.getArgList().isEmpty() ? List.copyOf(all.keySet()) : line.getArgList();
        for (String name : names) {
            if (!all.containsKey(name)) {
                throw new IllegalArgumentException(
                        "unknown measurement \"%s\"; known: %s".formatted(name, all.keySet()));
            }
        }
        System.out.println("seed " + seed + " number");
        for (String name : names) {
            all.get(name).run(seed, System.out);
        }
        System.exit(0);
    }

    private static CommandLine parse(Options options, String[] args) {
        try {
            return new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            throw new IllegalArgumentException("usage: measure [NAME...] [--seed N]", e);
        }
    }

    private static Map<String, Measurement> measurements() {
        Map<String, Measurement> all = new LinkedHashMap<>();
        all.put("shares", ShareMeasurement::run);
        all.put("urgent", UrgentMeasurement::run);
        all.put("maintenance", MaintenanceMeasurement::run);
        all.put("latency", LatencyMeasurement::run);
        all.put("spread", SpreadMeasurement::run);
        all.put("zone", ZoneMeasurement::run);
        all.put("limit", LimitMeasurement::run);
        all.put("control", ControlMeasurement::run);
        return all;
    }
}

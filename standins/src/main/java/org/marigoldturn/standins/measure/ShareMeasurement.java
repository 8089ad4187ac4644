package org.marigoldturn.standins.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.shares.MaxMinAllocator;
import org.marigoldturn.shares.MaxMinAllocator.TeamClaim;
import org.marigoldturn.standins.measure.SimulatedFleet.Setup;

/**
 * Measures shares, use of limits and control traffic, each next to local fair queueing with a
 * static division of rights as the baseline.
 */
public final class ShareMeasurement {
    private static final double RUN_MILLIS = 200;
    private static final int STEPS_PER_SECOND = 1000 / SimulatedFleet.STEP_MILLIS;
    private static final int BURST_SECONDS = 6;
    private static final int CURRENT_DAEMONS = 9;
    private static final int CURRENT_POOLS = 5;
    private static final int CURRENT_HOSTS_PER_POOL = 7;

    private ShareMeasurement() {}

    /** Prints one line {@code name value unit} for each figure. */
    public static void run(long seed, PrintStream out) {
        for (boolean coordinated : new boolean[] {true, false}) {
            String mode = coordinated ? "coordinated" : "baseline";
            List<Double> errors = stepErrors(coordinated, seed);
            for (int second = 0; second < errors.size(); second++) {
                print(
                        out,
                        mode + ".step_error.after_" + (second + 1) + "s",
                        errors.get(second),
                        "percent_of_capacity");
            }
            List<Double> bursts = burstErrors(coordinated, seed);
            for (int second = 0; second < bursts.size(); second++) {
                print(
                        out,
                        mode + ".burst_error.after_" + (second + 1) + "s",
                        bursts.get(second),
                        "percent_of_capacity");
            }
            for (int limit : new int[] {4, 40, 400}) {
                print(
                        out,
                        mode + ".limit_use.one_daemon.limit_" + limit,
                        limitUse(limit, limit, coordinated, seed),
                        "percent_of_limit");
            }
            for (int limit : new int[] {10, 40}) {
                List<Double> use = movedLimitUse(limit, coordinated, seed);
                for (int second = 0; second < use.size(); second++) {
                    print(
                            out,
                            mode + ".limit_use.moved.limit_" + limit + ".second_" + (second + 1),
                            use.get(second),
                            "percent_of_limit");
                }
            }
            print(
                    out,
                    mode + ".limit_use.one_daemon.limit_4_of_100_minted",
                    limitUse(4, 100, coordinated, seed),
                    "percent_of_limit");
        }
        printBytes(out, seed);
    }

    /** Share error in each second after a team joins two others that already fill the pool. */
    public static List<Double> stepErrors(boolean coordinated, long seed) {
        List<TeamSettings> teams = List.of(team("a", 1, 500), team("b", 2, 500), team("c", 3, 500));
        SimulatedFleet fleet = new SimulatedFleet(setup(9, teams, 500, coordinated), seed);
        for (int daemon = 0; daemon < CURRENT_DAEMONS; daemon++) {
            fleet.setRate(daemon, 0, "a", 200);
            fleet.setRate(daemon, 0, "b", 200);
        }
        runSeconds(fleet, 10);
        // The requests of the new team arrive at two daemons only.
        fleet.setRate(0, 0, "c", 600);
        fleet.setRate(1, 0, "c", 600);
        List<Double> errors = new ArrayList<>();
        for (int second = 0; second < 10; second++) {
            errors.add(errorOverOneSecond(fleet, 0, teams));
        }
        return errors;
    }

    /**
     * Mean share error in each second of a burst, while each pool in turn has five times its mean
     * demand for 6 s and a twentieth of it otherwise.
     */
    public static List<Double> burstErrors(boolean coordinated, long seed) {
        List<TeamSettings> teams = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            teams.add(team("t" + i, 1 + i % 3, 500));
        }
        SimulatedFleet fleet = new SimulatedFleet(setup(9, teams, 500, coordinated), seed);
        // Per team and daemon; a pool of 56 slots serves 280 requests a second.
        double mean = 0.5 * 280 / teams.size() / CURRENT_DAEMONS;
        double[] sums = new double[BURST_SECONDS];
        for (int turn = 0; turn < 2 * CURRENT_POOLS; turn++) {
            for (int pool = 0; pool < CURRENT_POOLS; pool++) {
                setRates(fleet, pool, teams, pool == turn % CURRENT_POOLS ? 5 * mean : mean / 20);
            }
            for (int second = 0; second < BURST_SECONDS; second++) {
                sums[second] += errorOverOneSecond(fleet, turn % CURRENT_POOLS, teams);
            }
        }
        return Arrays.stream(sums).mapToObj(sum -> sum / (2 * CURRENT_POOLS)).toList();
    }

    /** Use of a team's limit 5 to 10 s after all its load begins to arrive at one daemon. */
    public static double limitUse(int limit, int minted, boolean coordinated, long seed) {
        List<TeamSettings> teams = List.of(team("a", 1, limit));
        Setup setup = new Setup(CURRENT_DAEMONS, 1, 63, teams, minted, RUN_MILLIS, coordinated);
        SimulatedFleet fleet = new SimulatedFleet(setup, seed);
        fleet.setRate(0, 0, "a", limit * 10 + 50);
        runSeconds(fleet, 5);
        long sum = 0;
        for (int step = 0; step < 5 * STEPS_PER_SECOND; step++) {
            fleet.step();
            sum += checkedRunning(fleet, limit);
        }
        return 100.0 * sum / (5 * STEPS_PER_SECOND) / limit;
    }

    /**
     * Use of a team's limit in each of 10 s after its load has ended at one of 5 daemons and begins
     * at another; {@link LimitMeasurement} measures the same with processes.
     */
    public static List<Double> movedLimitUse(int limit, boolean coordinated, long seed) {
        List<TeamSettings> teams = List.of(team("a", 1, limit));
        Setup setup = new Setup(5, 1, 12, teams, limit, RUN_MILLIS, coordinated);
        SimulatedFleet fleet = new SimulatedFleet(setup, seed);
        fleet.setClients(0, 0, "a", 2 * limit);
        runSeconds(fleet, 10);
        fleet.setClients(0, 0, "a", 0);
        while (fleet.demand(0, "a") > 0) {
            fleet.step();
        }
        fleet.setClients(2, 0, "a", 2 * limit);
        List<Double> use = new ArrayList<>();
        for (int second = 0; second < 10; second++) {
            long sum = 0;
            for (int step = 0; step < STEPS_PER_SECOND; step++) {
                fleet.step();
                sum += checkedRunning(fleet, limit);
            }
            use.add(100.0 * sum / STEPS_PER_SECOND / limit);
        }
        return use;
    }

    /** Control bytes a second and daemon, while each pool in turn has a burst. */
    public static double bytesPerDaemonAndSecond(int daemons, int pools, int teams, long seed) {
        List<TeamSettings> all = new ArrayList<>();
        for (int i = 0; i < teams; i++) {
            all.add(team("team-" + i, 1 + i % 3, 400));
        }
        Setup setup = new Setup(daemons, pools, 7, all, 400, RUN_MILLIS, true);
        SimulatedFleet fleet = new SimulatedFleet(setup, seed);
        int seconds = 30;
        for (int second = 0; second < seconds; second++) {
            for (int pool = 0; pool < pools; pool++) {
                // One pool in twenty has a burst, for 6 s; up to six teams use each pool.
                boolean burst = (pool + second / 6) % 20 == 0;
                List<TeamSettings> users = new ArrayList<>();
                for (int i = 0; i < Math.min(6, teams); i++) {
                    users.add(all.get((pool * 7 + i) % teams));
                }
                double mean = 140.0 / users.size() / daemons;
                setRates(fleet, daemons, pool, users, burst ? 5 * mean : mean / 20);
            }
            runSeconds(fleet, 1);
        }
        return (double) fleet.controlBytes() / seconds / daemons;
    }

    private static int checkedRunning(SimulatedFleet fleet, int limit) {
        int running = fleet.running("a");
        if (running > limit) {
            throw new IllegalStateException(running + " requests run at limit " + limit);
        }
        return running;
    }

    private static void printBytes(PrintStream out, long seed) {
        int[][] sizes = {
            {3, 5, 6}, {6, 5, 6}, {9, 5, 6}, {9, 20, 6}, {9, 95, 6}, {9, 95, 51}, {18, 95, 51},
        };
        for (int[] size : sizes) {
            print(
                    out,
                    String.format(
                            "control_bytes.%d_daemons.%d_pools.%d_teams",
                            size[0], size[1], size[2]),
                    bytesPerDaemonAndSecond(size[0], size[1], size[2], seed),
                    "bytes_per_daemon_and_second");
        }
        print(out, "baseline.control_bytes", 0, "bytes_per_daemon_and_second");
    }

    private static double errorOverOneSecond(
            SimulatedFleet fleet, int pool, List<TeamSettings> teams) {
        Map<String, Double> difference = new TreeMap<>();
        for (int step = 0; step < STEPS_PER_SECOND; step++) {
            fleet.step();
            List<TeamClaim> claims = new ArrayList<>();
            for (TeamSettings team : teams) {
                int demand = fleet.demand(pool, team.name());
                claims.add(
                        new TeamClaim(
                                team.name(), demand, team.shareWeight(), team.runningLimit()));
            }
            Map<String, Integer> fair = MaxMinAllocator.allocate(fleet.poolSlots(), claims);
            for (TeamSettings team : teams) {
                int running = fleet.running(pool, team.name());
                difference.merge(
                        team.name(), (double) running - fair.get(team.name()), Double::sum);
            }
        }
        double worst = difference.values().stream().mapToDouble(Math::abs).max().orElse(0);
        return 100.0 * worst / STEPS_PER_SECOND / fleet.poolSlots();
    }

    private static void setRates(
            SimulatedFleet fleet, int pool, List<TeamSettings> teams, double perSecond) {
        setRates(fleet, CURRENT_DAEMONS, pool, teams, perSecond);
    }

    private static void setRates(
            SimulatedFleet fleet,
            int daemons,
            int pool,
            List<TeamSettings> teams,
            double perSecond) {
        for (int daemon = 0; daemon < daemons; daemon++) {
            for (TeamSettings team : teams) {
                fleet.setRate(daemon, pool, team.name(), perSecond);
            }
        }
    }

    private static Setup setup(
            int daemons, List<TeamSettings> teams, int minted, boolean coordinated) {
        return new Setup(
                daemons,
                CURRENT_POOLS,
                CURRENT_HOSTS_PER_POOL,
                teams,
                minted,
                RUN_MILLIS,
                coordinated);
    }

    private static TeamSettings team(String name, int weight, int limit) {
        return new TeamSettings(name, weight, limit, List.of());
    }

    private static void runSeconds(SimulatedFleet fleet, int seconds) {
        for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
            fleet.step();
        }
    }

    private static void print(PrintStream out, String name, double value, String unit) {
        out.println(String.format(Locale.ROOT, "%s %.2f %s", name, value, unit));
    }
}

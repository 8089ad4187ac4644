package org.marigoldturn.standins.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.standins.measure.SimulatedFleet.Setup;

/**
 * Measures how long urgent work waits in a pool that is full with ordinary work, in virtual time
 * with 9 daemons, 51 teams and 95 pools.
 */
public final class UrgentMeasurement {
    /** Time within which urgent work starts at the design size (design 2.6). */
    public static final long TARGET_MILLIS = 7_800;

    /** Hosts of a pool at the design size: 1,700 hosts in 95 pools. */
    public static final int DESIGN_HOSTS_PER_POOL = 18;

    private static final int DAEMONS = 9;
    private static final int POOLS = 95;
    private static final int TEAMS = 51;
    private static final int ORDINARY_TEAMS = 6;
    private static final int STEPS_PER_SECOND = 1000 / SimulatedFleet.STEP_MILLIS;
    private static final int SLOTS_PER_HOST = 8;

    /** Urgent work is at most this part of the slots, as in the queues. */
    private static final int URGENT_DIVISOR = 4;

    private static final int LIMIT = 500;
    private static final int LONGEST_SECONDS = 120;

    private UrgentMeasurement() {}

    /** Prints one line {@code name value unit} for each run time, pool size and arrival. */
    public static void run(long seed, PrintStream out) {
        for (int hosts : new int[] {1, 7, DESIGN_HOSTS_PER_POOL}) {
            for (int runMillis : new int[] {200, 1_000, 5_000, 20_000, 60_000}) {
                for (boolean everywhere : new boolean[] {false, true}) {
                    String arrival = everywhere ? "all_daemons" : "one_daemon";
                    out.println(
                            String.format(
                                    Locale.ROOT,
                                    "urgent.%d_slots.run_%d_ms.%s.longest_wait %d ms",
                                    hosts * SLOTS_PER_HOST,
                                    runMillis,
                                    arrival,
                                    longestWaitMillis(hosts, runMillis, everywhere, seed)));
                }
            }
        }
    }

    /**
     * Returns the longest time until the start of an urgent request, or until the end of the run if
     * one has not started.
     *
     * @param runMillis mean of the exponentially distributed run times
     * @param everywhere whether one request arrives at each daemon, or a single one at one of them
     */
    public static long longestWaitMillis(
            int hostsPerPool, int runMillis, boolean everywhere, long seed) {
        List<TeamSettings> teams = new ArrayList<>();
        for (int i = 0; i < TEAMS; i++) {
            teams.add(new TeamSettings("t" + i, 1 + i % 3, LIMIT, List.of()));
        }
        SimulatedFleet fleet =
                new SimulatedFleet(
                        new Setup(DAEMONS, POOLS, hostsPerPool, teams, LIMIT, runMillis, true),
                        seed);
        int clients = 1 + 2 * fleet.poolSlots() / DAEMONS / ORDINARY_TEAMS;
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            for (int team = 0; team < ORDINARY_TEAMS; team++) {
                fleet.setClients(daemon, 0, "t" + team, clients);
            }
        }
        steps(fleet, 10 * STEPS_PER_SECOND);
        // A team that has no other work, as for a new task of an operator.
        String team = "t" + ORDINARY_TEAMS;
        int requests = Math.min(DAEMONS, Math.max(1, fleet.poolSlots() / URGENT_DIVISOR));
        for (int i = 0; i < (everywhere ? requests : 1); i++) {
            fleet.sendUrgent(i, 0, team, 1);
        }
        long waited = 0;
        while (fleet.urgentWaiting() > 0 && waited < LONGEST_SECONDS * 1000L) {
            fleet.step();
            waited += SimulatedFleet.STEP_MILLIS;
        }
        return fleet.urgentWaiting() > 0 ? waited : fleet.longestUrgentWaitMillis();
    }

    private static void steps(SimulatedFleet fleet, int steps) {
        for (int step = 0; step < steps; step++) {
            fleet.step();
        }
    }
}

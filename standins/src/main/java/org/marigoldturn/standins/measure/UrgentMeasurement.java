package org.marigoldturn.standins.measure;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.standins.measure.SimulatedFleet.Setup;

/**
 * Measures how long urgent requests wait in a pool whose slots are all in use by ordinary requests,
 * in virtual time with 9 daemons, 51 teams and 95 pools.
 */
public final class UrgentMeasurement {
    /** Time within which urgent requests start at the design size (design 2.6). */
    public static final long TARGET_MILLIS = 7_800;

    /** Hosts of a pool at the design size: 1,700 hosts in 95 pools. */
    public static final int DESIGN_HOSTS_PER_POOL = 18;

    private static final int DAEMONS = 9;
    private static final int POOLS = 95;
    private static final int TEAMS = 51;
    private static final int ORDINARY_TEAMS = 6;
    private static final int STEPS_PER_SECOND = 1000 / SimulatedFleet.STEP_MILLIS;
    private static final int SLOTS_PER_HOST = 8;

    /** Urgent requests use at most the slots divided by this number, as in the queues. */
    private static final int URGENT_DIVISOR = 4;

    private static final int TEAM_LIMIT = 500;
    private static final int MAX_WAIT_SECONDS = 120;

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
     * Returns the longest time until the start of an urgent request, or {@link #MAX_WAIT_SECONDS}
     * if one has not started by then.
     *
     * @param runMillis mean of the exponentially distributed run times
     * @param everywhere whether one request arrives at each daemon (at fewer if a quarter of the
     *     slots is less), or a single one at one of them
     */
    public static long longestWaitMillis(
            int hostsPerPool, int runMillis, boolean everywhere, long seed) {
        List<TeamSettings> teams = new ArrayList<>();
        for (int i = 0; i < TEAMS; i++) {
            teams.add(new TeamSettings("t" + i, 1 + i % 3, TEAM_LIMIT, List.of()));
        }
        SimulatedFleet fleet =
                new SimulatedFleet(
                        new Setup(DAEMONS, POOLS, hostsPerPool, teams, TEAM_LIMIT, runMillis, true),
                        seed);
        int clients = 1 + 2 * fleet.poolSlots() / DAEMONS / ORDINARY_TEAMS;
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            for (int team = 0; team < ORDINARY_TEAMS; team++) {
                fleet.setClients(daemon, 0, "t" + team, clients);
            }
        }
        steps(fleet, 10 * STEPS_PER_SECOND);
        // A team without other requests, as when an operator starts a new task.
        String team = "t" + ORDINARY_TEAMS;
        int requests = Math.min(DAEMONS, Math.max(1, fleet.poolSlots() / URGENT_DIVISOR));
        for (int i = 0; i < (everywhere ? requests : 1); i++) {
            fleet.sendUrgent(i, 0, team, 1);
        }
        long waitedMillis = 0;
        while (fleet.urgentWaiting() > 0 && waitedMillis < MAX_WAIT_SECONDS * 1000L) {
            fleet.step();
            waitedMillis += SimulatedFleet.STEP_MILLIS;
        }
        return fleet.urgentWaiting() > 0 ? waitedMillis : fleet.longestUrgentWaitMillis();
    }

    private static void steps(SimulatedFleet fleet, int steps) {
        for (int step = 0; step < steps; step++) {
            fleet.step();
        }
    }
}

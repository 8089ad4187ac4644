package org.marigoldturn.standins.measure;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.marigoldturn.settings.TeamSettings;
import org.marigoldturn.standins.measure.SimulatedFleet.Setup;

/** Tests the required accuracy of shares and limits with real ledgers and coordinators. */
class ShareConvergenceProperties {
    @Property(tries = 4, seed = "4716")
    void shareErrorIsUnderTwoPercentFiveSecondsAfterAStep(@ForAll long seed) {
        assertThat(ShareMeasurement.stepErrors(true, seed).subList(5, 10)).allMatch(e -> e < 2);
    }

    /** Guards against daemons over their share because the coordinator lost track of rights. */
    @Property(tries = 6, seed = "4717")
    void burstsOfFiveTimesTheMeanAreSharedWithinTheBurst(@ForAll long seed) {
        List<Double> errors = ShareMeasurement.burstErrors(true, seed);
        assertThat(errors.subList(4, 6)).allMatch(e -> e < 2);
    }

    @Example
    void limitIsUsableWhereAllLoadArrives() {
        for (int limit : new int[] {1, 4, 40, 400}) {
            assertThat(ShareMeasurement.limitUse(limit, limit, true, 7)).isGreaterThan(95);
        }
        assertThat(ShareMeasurement.limitUse(4, 100, true, 7)).isGreaterThan(95);
        assertThat(ShareMeasurement.limitUse(1, 100, true, 7)).isGreaterThan(95);
    }

    /**
     * Guards against rights that stay with daemons whose load has moved away. Two faults kept the
     * use at 78% for the rest of a burst: a daemon did not report that it had transferred its last
     * right, and rights that were reported by their recipient first were counted twice. The seed
     * sets the offsets between the ticks of the daemons.
     */
    @Property(tries = 40, seed = "4720")
    void limitIsUsableWhereTheLoadHasMovedTo(
            @ForAll long seed, @ForAll @IntRange(min = 4, max = 60) int limit) {
        List<Double> use = ShareMeasurement.movedLimitUse(limit, true, seed);
        assertThat(use.subList(5, 10)).allMatch(u -> u >= 95);
    }

    /** Guards against exceeded limits under random demand, and pools that stay idle after it. */
    @Property(tries = 8, seed = "4718")
    void convergesFromRandomDemand(@ForAll long seed) {
        Random random = new Random(seed);
        List<TeamSettings> teams = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            int limit = i == 0 ? 3 : 40 + random.nextInt(40);
            teams.add(new TeamSettings("t" + i, 1 + random.nextInt(4), limit, List.of()));
        }
        SimulatedFleet fleet = new SimulatedFleet(new Setup(6, 2, 7, teams, 0, 200, true), seed);
        for (int phase = 0; phase < 3; phase++) {
            for (int daemon = 0; daemon < 6; daemon++) {
                for (TeamSettings team : teams) {
                    double rate = random.nextInt(3) == 0 ? 200 * random.nextDouble() : 0;
                    fleet.setRate(daemon, phase % 2, team.name(), rate);
                }
            }
            step(fleet, teams, 300);
        }
        for (TeamSettings team : teams) {
            fleet.setRate(random.nextInt(6), 0, team.name(), 400);
        }
        step(fleet, teams, 600);
        assertThat(meanRunning(fleet, teams)).isGreaterThan(0.95 * fleet.poolSlots());
    }

    /** Guards against new divisions of slots that are merely in transfer between daemons. */
    @Property(tries = 2, seed = "4721")
    void slotsInConstantTransferAreNotTreatedAsLost(@ForAll long seed) {
        Random random = new Random(seed);
        List<TeamSettings> teams = List.of(new TeamSettings("t0", 1, 400, List.of()));
        SimulatedFleet fleet = new SimulatedFleet(new Setup(6, 1, 7, teams, 0, 200, true), seed);
        for (int phase = 0; phase < 120; phase++) {
            for (int daemon = 0; daemon < 6; daemon++) {
                fleet.setRate(daemon, 0, "t0", random.nextInt(3) == 0 ? 200 : 20);
            }
            step(fleet, teams, 100);
        }
        assertThat(fleet.reassignments()).isZero();
    }

    private static void step(SimulatedFleet fleet, List<TeamSettings> teams, int steps) {
        for (int i = 0; i < steps; i++) {
            fleet.step();
            for (TeamSettings team : teams) {
                assertThat(fleet.running(team.name())).isLessThanOrEqualTo(team.runningLimit());
            }
        }
    }

    private static double meanRunning(SimulatedFleet fleet, List<TeamSettings> teams) {
        double sum = 0;
        for (int i = 0; i < 100; i++) {
            fleet.step();
            sum += teams.stream().mapToInt(t -> fleet.running(0, t.name())).sum();
        }
        return sum / 100;
    }
}

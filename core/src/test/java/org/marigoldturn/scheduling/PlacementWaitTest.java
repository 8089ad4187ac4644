package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.marigoldturn.jobs.StepSpec;

/** Guards against tasks that wait in vain, or too long, for their preferred placement. */
class PlacementWaitTest {
    private static final PlacementWait.Rule BY_COST = PlacementWait::decide;
    private static final PlacementWait.Rule NONE = s -> decision(false);
    private static final PlacementWait.Rule FIXED =
            s -> decision(s.nowMillis() - s.sinceMillis() < 500);
    private static final PlacementWait.Rule UNBOUNDED = s -> decision(true);

    /** Longest time for which a task with room may lack a run because of a wait. */
    private static final long LONGEST_ALLOWED_MILLIS = 1_500;

    private static PlacementWait.Decision decision(boolean waits) {
        return new PlacementWait.Decision(
                waits, Long.MAX_VALUE, PlacementWait.Reason.ROOM_EXPECTED);
    }

    private static PlacementWait.Decision decide(
            long sinceMillis, long expectedMillis, long roomMillis, long objectiveMillis) {
        return PlacementWait.decide(
                new PlacementWait.Situation(
                        10_000, sinceMillis, expectedMillis, 2, 0, 0, roomMillis, objectiveMillis));
    }

    /** Guards against waits that cost more than they gain. */
    @Example
    void waitsOnlyForRoomThatIsExpectedWithinTheGain() {
        assertThat(decide(10_000, 1_000, 10_900, Long.MAX_VALUE).untilMillis()).isEqualTo(11_000);
        assertThat(decide(10_000, 1_000, 11_000, Long.MAX_VALUE).reason())
                .isEqualTo(PlacementWait.Reason.EXCEEDS_GAIN);
        assertThat(decide(10_000, 1_000, Long.MAX_VALUE, Long.MAX_VALUE).reason())
                .isEqualTo(PlacementWait.Reason.NO_ROOM_EXPECTED);
    }

    /** Guards against waits that are extended by each new forecast. */
    @Example
    void boundCountsFromTheFirstWait() {
        assertThat(decide(9_000, 9_000, 10_100, Long.MAX_VALUE).untilMillis()).isEqualTo(10_200);
        assertThat(decide(8_800, 9_000, 10_100, Long.MAX_VALUE).reason())
                .isEqualTo(PlacementWait.Reason.EXCEEDS_BOUND);
    }

    /** Guards against waits by which a job misses an objective that it could meet. */
    @Example
    void waitLeavesTheObjectiveInReach() {
        assertThat(decide(10_000, 1_000, 10_300, 12_200).untilMillis()).isEqualTo(11_000);
        assertThat(decide(10_000, 1_000, 10_300, 11_500).untilMillis()).isEqualTo(10_500);
        assertThat(decide(10_000, 1_000, 10_300, 11_200).reason())
                .isEqualTo(PlacementWait.Reason.ENDANGERS_OBJECTIVE);
    }

    /** Guards against waits for room that others would use at once, while racks elsewhere idle. */
    @Example
    void gainFollowsTheLoadOfTheRacks() {
        assertThat(gainMillis(0, 0)).isEqualTo(1_000);
        assertThat(gainMillis(0.75, 0)).isEqualTo(250);
        assertThat(gainMillis(1.5, 0)).isEqualTo(0);
        assertThat(gainMillis(1.5, 0.5)).isEqualTo(500);
        assertThat(gainMillis(1.5, 3)).isEqualTo(1_000);
    }

    private static long gainMillis(double load, double loadElsewhere) {
        return new PlacementWait.Situation(0, 0, 1_000, 2, load, loadElsewhere, 0, 0).gainMillis();
    }

    /** A long task whose preferred rack has room soon, on racks that have room at once. */
    private static double hotRack(PlacementWait.Rule rule) {
        return play(rule, 1, 2_000, 2_000, 300);
    }

    /** A short task whose preferred rack is taken for longer than the task runs elsewhere. */
    private static double shortTask(PlacementWait.Rule rule) {
        return play(rule, 1, 200, 200, 2_000);
    }

    private static double play(
            PlacementWait.Rule rule,
            int tasks,
            long estimateMillis,
            long millis,
            long fillerMillis) {
        PlacementSimulation simulation =
                new PlacementSimulation(rule).addRack("r0", 1, 4_000).addRack("r1", 4, 4_000);
        simulation.submit("filler", "a", "r0", 4, fillerMillis, fillerMillis);
        simulation.runFor(20);
        simulation.submit("job", "a", "r0", tasks, estimateMillis, millis);
        simulation.runFor(20_000);
        return simulation.meanMillis("job");
    }

    /** Guards against starts far from the data although room near it is about to come. */
    @Example
    void longTaskWaitsForAHotRack() {
        assertThat(hotRack(BY_COST)).isLessThan(hotRack(NONE));
        assertThat(hotRack(BY_COST)).isLessThanOrEqualTo(hotRack(FIXED));
        assertThat(hotRack(BY_COST)).isLessThanOrEqualTo(hotRack(UNBOUNDED));
    }

    /** Guards against waits that are longer than the whole run elsewhere. */
    @Example
    void shortTaskDoesNotWait() {
        assertThat(shortTask(BY_COST)).isEqualTo(shortTask(NONE));
        assertThat(shortTask(BY_COST)).isLessThan(shortTask(FIXED));
        assertThat(shortTask(BY_COST)).isLessThan(shortTask(UNBOUNDED));
    }

    private static double manyJobs(PlacementWait.Rule rule) {
        PlacementSimulation simulation =
                new PlacementSimulation(rule).addRack("r0", 2, 4_000).addRack("r1", 4, 4_000);
        for (int i = 0; i < 12; i++) {
            simulation.submit("job" + i, "a", "r0", 3, 600, 600);
            simulation.runFor(100);
        }
        simulation.runFor(20_000);
        return simulation.meanMillis("job");
    }

    /** Guards against a queue for one rack that is longer than what the wait gains. */
    @Example
    void manyJobsOnOneRackUseOthersToo() {
        assertThat(manyJobs(BY_COST)).isLessThanOrEqualTo(manyJobs(NONE));
        assertThat(manyJobs(BY_COST)).isLessThanOrEqualTo(manyJobs(FIXED));
        assertThat(manyJobs(BY_COST)).isLessThan(manyJobs(UNBOUNDED));
    }

    private static double busyRacks(PlacementWait.Rule rule) {
        PlacementSimulation simulation =
                new PlacementSimulation(rule).addRack("r0", 2, 4_000).addRack("r1", 2, 4_000);
        Random random = new Random(1);
        for (int i = 0; i < 80; i++) {
            int millis = 300 + random.nextInt(600);
            simulation.submit("job" + i, "a", "r" + random.nextInt(2), 4, 600, millis);
            simulation.runFor(20 + random.nextInt(400));
        }
        simulation.runFor(20_000);
        return simulation.meanMillis("job");
    }

    /** Guards against far runs that take the room of tasks whose data is near it. */
    @Example
    void tasksWaitWhenAllRacksAreInDemand() {
        assertThat(busyRacks(BY_COST)).isLessThan(busyRacks(NONE));
    }

    /** Guards against gangs that are split over racks although one rack has room soon. */
    @Example
    void gangWaitsForOneRack() {
        PlacementSimulation simulation =
                new PlacementSimulation(BY_COST).addRack("r0", 1, 4_000).addRack("r1", 1, 4_000);
        simulation.submit("filler", "a", "r0", 2, 300, 300);
        simulation.submit("long", "a", "r1", 2, 9_000, 9_000);
        simulation.runFor(20);
        simulation.submit("gang", "a", new StepSpec.Placement("", "", 0, true), 4, 2_000, 2_000);
        simulation.runFor(400);
        assertThat(simulation.isRunningIn("gang", "r0")).isTrue();
        assertThat(simulation.isRunningIn("gang", "r1")).isFalse();
    }

    /** Guards against a wait for a rack that can run nothing any more. */
    @Example
    void waitEndsWhenTheRackBecomesUnreachable() {
        assertThat(runsElsewhereAfterLoss(BY_COST)).isTrue();
        assertThat(runsElsewhereAfterLoss(UNBOUNDED)).isFalse();
    }

    private static boolean runsElsewhereAfterLoss(PlacementWait.Rule rule) {
        PlacementSimulation simulation =
                new PlacementSimulation(rule).addRack("r0", 1, 4_000).addRack("r1", 1, 4_000);
        simulation.submit("filler", "a", "r0", 4, 4_000, 4_000);
        simulation.runFor(3_000);
        simulation.submit("job", "a", "r0", 1, 3_000, 3_000);
        simulation.runFor(100);
        assertThat(simulation.isRunning("job")).isFalse();
        simulation.target("r0-0").setReachable(false);
        simulation.runFor(20);
        return simulation.isRunningIn("job", "r1");
    }

    /** Guards against waits of an account over its share that delay one below it. */
    @Example
    void accountBelowItsShareGetsTheRoomFirst() {
        PlacementSimulation simulation =
                new PlacementSimulation(BY_COST).addRack("r0", 1, 4_000).addRack("r1", 1, 8_000);
        simulation.submit("short", "a", "r0", 1, 3_600, 3_600);
        simulation.submit("filler", "a", "r0", 3, 9_000, 9_000);
        simulation.runFor(3_000);
        simulation.submit("over", "a", "r0", 1, 3_000, 3_000);
        simulation.runFor(100);
        assertThat(simulation.isRunning("over")).isFalse();
        simulation.submit("below", "b", "r0", 1, 3_000, 3_000);
        simulation.runFor(700);
        assertThat(simulation.isRunningIn("below", "r0")).isTrue();
        assertThat(simulation.isRunningIn("over", "r1")).isTrue();
    }

    /**
     * Guards against tasks that lack a run for too long although there is room, with estimates that
     * are off by a multiple and a change of the owner at any time.
     */
    @Property(tries = 25, seed = "20261207")
    void taskWithRoomIsNeverWithoutARunForLong(
            @ForAll int seed, @ForAll @IntRange(max = 40) int changeAt) {
        PlacementSimulation simulation =
                new PlacementSimulation(BY_COST).addRack("r0", 2, 4_000).addRack("r1", 2, 4_000);
        Random random = new Random(seed);
        for (int i = 0; i < 40; i++) {
            if (i == changeAt) {
                simulation.changeOwner();
            }
            long estimateMillis = 200 + random.nextInt(4_000);
            long millis = estimateMillis / 2 + random.nextInt((int) estimateMillis * 3);
            String rack = "r" + random.nextInt(2);
            simulation.submit("j" + i, "a", rack, 1 + random.nextInt(3), estimateMillis, millis);
            simulation.runFor(100 + random.nextInt(400));
        }
        assertThat(simulation.longestUnplacedMillis()).isLessThan(LONGEST_ALLOWED_MILLIS);
    }

    /** Guards against a new owner that begins the bound of a wait anew. */
    @Example
    void changeOfTheOwnerDoesNotExtendAWait() {
        PlacementSimulation simulation =
                new PlacementSimulation(BY_COST).addRack("r0", 1, 4_000).addRack("r1", 1, 4_000);
        simulation.submit("filler", "a", "r0", 4, 4_000, 20_000);
        simulation.runFor(3_000);
        simulation.submit("job", "a", "r0", 1, 6_000, 6_000);
        simulation.runFor(800);
        assertThat(simulation.isRunning("job")).isFalse();
        simulation.changeOwner();
        simulation.runFor(LONGEST_ALLOWED_MILLIS - 800);
        assertThat(simulation.isRunningIn("job", "r1")).isTrue();
    }
}

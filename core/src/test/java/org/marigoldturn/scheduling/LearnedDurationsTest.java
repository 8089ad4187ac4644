package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Guards against forecasts from durations that are too few, too old or not comparable. */
class LearnedDurationsTest {
    private static final long ESTIMATE_MILLIS = 1_000;

    private final LearnedDurations mDurations = new LearnedDurations();

    LearnedDurationsTest() {
        mDurations.setEnabled(true);
    }

    private void record(int runs, long millis, long nowMillis) {
        for (int i = 0; i < runs; i++) {
            mDurations.record("queue", ESTIMATE_MILLIS, millis, nowMillis);
        }
    }

    private long expected() {
        return mDurations.expectedMillis("queue", ESTIMATE_MILLIS);
    }

    /** Guards against a forecast that a few unusual runs decide. */
    @Example
    void estimateHoldsUntilEnoughRunsHaveEnded() {
        record(LearnedDurations.MIN_RUNS - 1, 3_000, 0);
        assertThat(expected()).isEqualTo(ESTIMATE_MILLIS);
        record(1, 3_000, 0);
        assertThat(expected()).isBetween(2_950L, 3_050L);
        assertThat(mDurations.expectedMillis("other", ESTIMATE_MILLIS)).isEqualTo(ESTIMATE_MILLIS);
        assertThat(mDurations.expectedMillis("queue", 9_000)).isEqualTo(9_000);
    }

    /** Guards against a tail that hides the runs that take a multiple of the usual time. */
    @Example
    void tailShowsSlowRuns() {
        record(90, 1_000, 0);
        record(10, 7_000, 0);
        assertThat(expected()).isBetween(1_570L, 1_630L);
        assertThat(mDurations.tailMillis("queue", ESTIMATE_MILLIS)).isBetween(6_900L, 7_100L);
    }

    /** Guards against durations of a former load that never lose their influence. */
    @Example
    void oldRunsLoseTheirInfluence() {
        record(500, 3_000, 0);
        record(LearnedDurations.PERIOD_RUNS, 1_000, LearnedDurations.PERIOD_MILLIS);
        record(LearnedDurations.PERIOD_RUNS, 1_000, 2 * LearnedDurations.PERIOD_MILLIS);
        record(LearnedDurations.PERIOD_RUNS, 1_000, 3 * LearnedDurations.PERIOD_MILLIS);
        assertThat(expected()).isBetween(990L, 1_010L);
    }

    /** Guards against memory that grows with the number of queues, or while nobody reads. */
    @Example
    void memoryIsBounded() {
        for (int i = 0; i < 2_000; i++) {
            mDurations.record("queue" + i, ESTIMATE_MILLIS, 1_000, 0);
        }
        assertThat(mDurations.countClasses()).isEqualTo(LearnedDurations.MAX_CLASSES);
        assertThat(mDurations.takeSamples()).hasSize(LearnedDurations.MAX_SAMPLES);
    }

    /** Guards against a change of forecasts in deployments whose settings do not ask for it. */
    @Example
    void estimateHoldsUnlessEnabled() {
        record(100, 3_000, 0);
        mDurations.setEnabled(false);
        assertThat(expected()).isEqualTo(ESTIMATE_MILLIS);
    }

    /** Guards against runs whose duration is recorded with the time spent away from their data. */
    @Example
    void runsAwayFromTheirDataAreCorrectedByTheFarFactor() {
        PlacementSimulation simulation =
                new PlacementSimulation(PlacementWait::decide)
                        .addRack("r0", 1, 1_000)
                        .addRack("r1", 4, 8_000);
        simulation.submit("job", "a", "r0", 25, 400, 800);
        simulation.runFor(4_000);
        assertThat(simulation.mFixture.mScheduler.durations().expectedMillis("queue", 400))
                .isBetween(760L, 860L);
    }
}

package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobState;
import org.marigoldturn.jobs.StepSpec;

/**
 * Guards the rules of jobs under lost, late and crossed calls, crashed and cut off targets, slow
 * clocks, and owners that follow each other while the old one still acts.
 */
class JobSchedulerProperties {
    private static final int JOBS = 12;

    @Property(tries = 1_000, seed = "20261204")
    void noRuleIsBrokenAndAllWorkEnds(@ForAll long seed) {
        play(seed);
    }

    /** An old owner took a target's silence or end as leave to start its tasks elsewhere. */
    @Example
    void ownerThatMayHaveBeenReplacedStartsNothingAgain() {
        play(6);
        play(67_715);
    }

    private static void play(long seed) {
        ScheduleSimulation world = new ScheduleSimulation(seed, 4);
        Random random = new Random(seed);
        for (int i = 0; i < JOBS; i++) {
            world.handIn(job("job" + i, random));
            world.run(random.nextInt(1_500), true);
            if (random.nextInt(8) == 0) {
                world.cancel("job" + random.nextInt(i + 1));
            }
        }
        world.run(10_000, true);
        world.run(60_000, false);
        assertThat(world.findings()).isEmpty();
        for (int i = 0; i < JOBS; i++) {
            assertThat(world.state("job" + i)).as("job%d", i).isNotEqualTo(JobState.RUNNING);
        }
    }

    private static Job job(String id, Random random) {
        int width = 1 + random.nextInt(4);
        StepSpec first = SchedulerFixture.step(width, 500 + 500 * random.nextInt(4));
        StepSpec second = SchedulerFixture.step(1 + random.nextInt(3), 1_000, 0);
        return random.nextBoolean()
                ? SchedulerFixture.job(id, "account", first)
                : SchedulerFixture.job(id, "account", first, second);
    }
}

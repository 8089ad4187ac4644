package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Example;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobProgress;
import org.marigoldturn.jobs.JobSpec;
import org.marigoldturn.jobs.JobState;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.QueueSettings;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.StepSpec;
import org.marigoldturn.jobs.TaskId;

/**
 * Guards against a failed run that counts twice: an owner has stored it but was replaced before the
 * target learned that, so the target reports it to the next owner again.
 */
class RepeatedFailureTest {
    private static final TaskId TASK = new TaskId("job", 0, 0, 0);
    private static final QueueSettings QUEUE_OF_TWO_ATTEMPTS =
            new QueueSettings(
                    "queue", "host", "/q/", "service", 0, 2, 1.6, 600, false, Optional.empty());

    @Example
    void failedRunThatAnEarlierOwnerStoredDoesNotCountAgain() {
        JobScheduler scheduler = nextOwner();
        scheduler.restore(jobOfOneTask(), progressWithOneFailedRun(), 0);
        TargetState target = scheduler.onTargetListed(entry(), 0);
        scheduler.onReport(target, reportOfFailedRun(1), 1, 2, 0);
        assertThat(scheduler.state("job")).isNotEqualTo(Optional.of(JobState.FAILED));
    }

    @Example
    void anotherRunThatFailsCounts() {
        JobScheduler scheduler = nextOwner();
        scheduler.restore(jobOfOneTask(), progressWithOneFailedRun(), 0);
        TargetState target = scheduler.onTargetListed(entry(), 0);
        scheduler.onReport(target, reportOfFailedRun(2), 1, 2, 0);
        assertThat(scheduler.state("job")).contains(JobState.FAILED);
    }

    private static JobScheduler nextOwner() {
        QueueCatalog catalog =
                new QueueCatalog(
                        1, List.of(QUEUE_OF_TWO_ATTEMPTS), Set.of("service"), Set.of(), List.of());
        return new JobScheduler(catalog, 2, 0, 0, 0);
    }

    private static Job jobOfOneTask() {
        StepSpec step =
                new StepSpec(
                        1,
                        new ResourceAmounts(100, 100, 0),
                        100,
                        List.of(),
                        new StepSpec.Placement("", "", 0, false),
                        new StepSpec.Traits(false, false, false, false, false),
                        "",
                        0,
                        StepSpec.NO_BUDGET);
        return new Job(
                "job", "queue", "account", new JobSpec("text", List.of(step), 1, false, 0, 0), 0);
    }

    private static JobProgress progressWithOneFailedRun() {
        return new JobProgress(
                JobState.RUNNING,
                0,
                List.of(new JobProgress.TaskProgress(TASK, false, Set.of(1L), "")));
    }

    private static TargetReport reportOfFailedRun(long run) {
        return new TargetReport(
                7,
                List.of(),
                List.of(new TargetReport.RunEnd(1, TASK, run, EndKind.FAILED, "")),
                true);
    }

    private static TargetEntry entry() {
        return new TargetEntry(
                "t1",
                7,
                "h1",
                "service",
                "127.0.0.1:9",
                "z",
                "r",
                Set.of(),
                new ResourceAmounts(8_000, 8_000, 0),
                false);
    }
}

package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobProgress;
import org.marigoldturn.jobs.JobSpec;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.StepSpec;
import org.marigoldturn.jobs.TaskId;
import org.marigoldturn.scheduling.EndKind;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetReport;
import org.marigoldturn.scheduling.TargetState;

/** Guards against a target on which nothing starts without a line that tells so. */
class TargetLogTest {
    private static final StepSpec STEP =
            new StepSpec(
                    2,
                    new ResourceAmounts(100, 100, 0),
                    1_000,
                    List.of(),
                    new StepSpec.Placement("", "", 0, false),
                    new StepSpec.Traits(false, false, false, false, false),
                    "image",
                    0,
                    StepSpec.NO_BUDGET);

    private final List<String> mLines = new ArrayList<>();
    private final JobScheduler mScheduler =
            new JobScheduler(
                    new QueueCatalog(1, List.of(), Set.of(), Set.of(), List.of()),
                    2,
                    0,
                    5_000,
                    5_000);
    private final TargetLog mLog = new TargetLog(2, mScheduler::targets, mLines::add);

    @Example
    void cordonAndItsEndAreLoggedOnce() {
        TargetState target = target("t1");
        mLog.tick(100);
        target.setCordoned(true);
        mLog.tick(200);
        mLog.tick(300);
        target.setCordoned(false);
        mLog.tick(400);
        assertThat(mLines)
                .containsExactly(
                        "target: event=cordoned target=t1 term=2",
                        "target: event=uncordoned target=t1 term=2");
    }

    @Example
    void pauseAfterFailedRunsIsLoggedWithItsLength() {
        TargetState target = target("t1");
        List<TargetReport.RunEnd> ends = new ArrayList<>();
        for (String job : List.of("a", "b")) {
            JobSpec spec = new JobSpec("payload", List.of(STEP), 1, false, 0, 0);
            mScheduler.restore(new Job(job, "queue", "", spec, 0), JobProgress.NONE, 0);
            for (int i = 0; i < STEP.taskCount(); i++) {
                TaskId task = new TaskId(job, 0, 0, i);
                ends.add(new TargetReport.RunEnd(ends.size() + 1, task, 1, EndKind.FAILED, ""));
            }
        }
        mScheduler.onReport(target, new TargetReport(1, List.of(), ends, true), 100, 100, 100);
        mLog.tick(150);
        mLog.tick(250);
        assertThat(mLines)
                .containsExactly(
                        "target: event=paused target=t1 term=2 leftMillis=1950 cause=FAILED_RUNS");
    }

    @Example
    void linesOfASecondAreBoundedAndTheRestIsCounted() {
        for (int i = 0; i < TargetLog.LINES_PER_SECOND + 3; i++) {
            target("t" + i).setCordoned(true);
        }
        mLog.tick(100);
        assertThat(mLines).hasSize(TargetLog.LINES_PER_SECOND);
        mLog.tick(100 + LogBudget.INTERVAL_MILLIS);
        assertThat(mLines.subList(TargetLog.LINES_PER_SECOND, mLines.size()))
                .containsExactly("target: event=lines-left-out kind=target term=2 count=3");
    }

    private TargetState target(String id) {
        return mScheduler.onTargetListed(
                new TargetEntry(
                        id,
                        1,
                        "h-" + id,
                        "s",
                        "a:1",
                        "z",
                        "r",
                        Set.of(),
                        ResourceAmounts.NONE,
                        false),
                0);
    }
}

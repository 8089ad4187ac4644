package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.BeforeTry;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobProgress;
import org.marigoldturn.jobs.JobSpec;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.StepSpec;
import org.marigoldturn.jobs.TaskId;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetReport;
import org.marigoldturn.scheduling.TargetState;

/** Guards against waits that are not logged, and against a flood of lines about them. */
class WaitLogTest {
    private static final long TICK_MILLIS = 100;
    private static final String LINE_START =
            "task: event=waiting id=a task=a.0.0.0 term=2 waitMillis=";

    private final List<String> mLines = new ArrayList<>();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final JobScheduler mScheduler =
            new JobScheduler(
                    new QueueCatalog(1, List.of(), Set.of(), Set.of(), List.of()),
                    2,
                    0,
                    5_000,
                    5_000);
    private final WaitLog mLog =
            new WaitLog(2, mScheduler.longRunningWaits(), mMetrics, mLines::add);
    private long mNowMillis;

    @BeforeTry
    void start() {
        mLog.tick(true, 0, 0);
    }

    @Example
    void waitIsLoggedAtTheThresholdAndInIntervals() {
        restoreJob("a", 1);
        tickUntil(WaitLog.THRESHOLD_MILLIS - TICK_MILLIS);
        assertThat(mLines).isEmpty();
        tickUntil(WaitLog.THRESHOLD_MILLIS);
        assertThat(mLines).containsExactly(LINE_START + "2000 reason=not-configured queue=queue");
        tickUntil(WaitLog.THRESHOLD_MILLIS + 2 * WaitLog.REPEAT_MILLIS);
        assertThat(mLines).hasSize(3);
        assertThat(mLines.get(2)).startsWith(LINE_START + "12000 reason=not-configured");
    }

    @Example
    void changedReasonIsLoggedAtTheNextDiagnosis() {
        restoreJob("a", 1);
        tickUntil(WaitLog.THRESHOLD_MILLIS);
        mNowMillis += WaitLog.DIAGNOSIS_INTERVAL_MILLIS;
        mLog.tick(false, mNowMillis, mNowMillis);
        assertThat(mLines).hasSize(2);
        assertThat(mLines.get(1)).startsWith(LINE_START + "3000 reason=ownership mayAct=false");
    }

    @Example
    void endOfALoggedWaitIsLogged() {
        restoreJob("a", 1);
        tickUntil(WaitLog.THRESHOLD_MILLIS);
        reportRun();
        mLines.clear();
        tickUntil(WaitLog.THRESHOLD_MILLIS + TICK_MILLIS);
        assertThat(mLines)
                .containsExactly(
                        "task: event=wait-over id=a task=a.0.0.0 term=2 waitMillis=2100"
                                + " reason=not-configured running=true");
    }

    @Example
    void endOfAWaitThatWasNotLoggedIsNotLogged() {
        restoreJob("a", 1);
        tickUntil(WaitLog.THRESHOLD_MILLIS - TICK_MILLIS);
        reportRun();
        tickUntil(2 * WaitLog.THRESHOLD_MILLIS);
        assertThat(mLines).isEmpty();
    }

    @Example
    void waitOfACancelledJobEndsWithoutARun() {
        restoreJob("a", 1);
        tickUntil(WaitLog.THRESHOLD_MILLIS);
        mScheduler.cancel("a", 0);
        tickUntil(WaitLog.THRESHOLD_MILLIS + TICK_MILLIS);
        assertThat(mLines.get(1)).startsWith("task: event=wait-over").endsWith("running=false");
    }

    @Example
    void linesOfASecondAreBoundedAndAllTasksHaveTheirTurn() {
        int tasks = 5 * WaitLog.LINES_PER_SECOND;
        restoreJob("a", tasks);
        long lastMillis = WaitLog.THRESHOLD_MILLIS + 10 * WaitLog.DIAGNOSIS_INTERVAL_MILLIS;
        Set<String> logged = new HashSet<>();
        long leftOut = 0;
        while (mNowMillis < lastMillis) {
            tickUntil(mNowMillis + WaitLog.DIAGNOSIS_INTERVAL_MILLIS);
            int waiting = 0;
            for (String line : mLines) {
                Matcher counted =
                        Pattern.compile("event=lines-left-out kind=wait term=2 count=(\\d+)")
                                .matcher(line);
                if (counted.find()) {
                    leftOut += Long.parseLong(counted.group(1));
                } else {
                    waiting++;
                    logged.add(line.split(" ")[3]);
                }
            }
            mLines.clear();
            assertThat(waiting).isLessThanOrEqualTo(WaitLog.LINES_PER_SECOND);
        }
        assertThat(logged).hasSize(tasks);
        assertThat(leftOut).isPositive();
    }

    @Example
    void gaugesTellTheLongestWaitAndTheNumberUntilTheRoleEnds() {
        assertGauges(0, 0);
        restoreJob("a", 1);
        mNowMillis = 700;
        restoreJob("b", 2);
        tickUntil(1_000);
        assertGauges(1_000, 3);
        reportRun();
        tickUntil(1_100);
        assertGauges(400, 2);
        mLog.close(mNowMillis);
        assertGauges(0, 0);
    }

    @Example
    void laterOwnerUsesTheSameGauges() {
        mLog.close(mNowMillis);
        restoreJob("a", 1);
        WaitLog later = new WaitLog(3, mScheduler.longRunningWaits(), mMetrics, mLines::add);
        later.tick(true, 500, 500);
        assertGauges(500, 1);
    }

    private void assertGauges(long longestMillis, long waiting) {
        assertThat(mMetrics.getGauges().get(WaitLog.LONGEST_WAIT_MILLIS).getValue())
                .isEqualTo(longestMillis);
        assertThat(mMetrics.getGauges().get(WaitLog.WAITING).getValue()).isEqualTo(waiting);
    }

    private void tickUntil(long millis) {
        while (mNowMillis < millis) {
            mNowMillis += TICK_MILLIS;
            mLog.tick(true, mNowMillis, mNowMillis);
        }
    }

    private void restoreJob(String id, int tasks) {
        StepSpec step =
                new StepSpec(
                        tasks,
                        new ResourceAmounts(100, 100, 0),
                        1_000,
                        List.of(),
                        new StepSpec.Placement("", "", 0, false),
                        new StepSpec.Traits(false, false, false, true, false),
                        "image",
                        0,
                        1);
        JobSpec spec = new JobSpec("payload", List.of(step), 1, false, 0, 0);
        mScheduler.restore(new Job(id, "queue", "", spec, 0), JobProgress.NONE, mNowMillis);
    }

    /** Has a target report a run of the first task of job "a". */
    private void reportRun() {
        TargetEntry entry =
                new TargetEntry(
                        "t1", 1, "h1", "s", "a:1", "z", "r", Set.of(), ResourceAmounts.NONE, false);
        TargetState target = mScheduler.onTargetListed(entry, mNowMillis);
        target.setReachable(true);
        TargetReport.RunReport run =
                new TargetReport.RunReport(new TaskId("a", 0, 0, 0), 1, "", 100);
        mScheduler.onReport(
                target,
                new TargetReport(1, List.of(run), List.of(), true),
                mNowMillis,
                mNowMillis,
                0);
    }
}

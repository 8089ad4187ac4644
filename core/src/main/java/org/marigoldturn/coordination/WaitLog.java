package org.marigoldturn.coordination;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.marigoldturn.jobs.TaskId;
import org.marigoldturn.scheduling.LongRunningWaits;
import org.marigoldturn.scheduling.TaskWait;
import org.marigoldturn.scheduling.WaitReason;
import org.tinylog.Logger;

/**
 * Logs why long-running tasks wait, within a budget, and sets the metrics of their waits. Confined
 * to the control thread.
 */
final class WaitLog {
    /** Metric: the longest present wait of a long-running task; 0 if none waits. */
    static final String LONGEST_WAIT_MILLIS = "longrunning.longest_wait_millis";

    /** Metric: the number of long-running tasks that wait now. */
    static final String WAITING = "longrunning.waiting";

    /** Most lines in a second; further ones are left out and counted. */
    static final int LINES_PER_SECOND = 20;

    /** Waits of this length are logged. */
    static final long THRESHOLD_MILLIS = 2_000;

    /** Interval of the lines about a wait whose reason stays the same. */
    static final long REPEAT_MILLIS = 5_000;

    /** Interval in which the reasons are determined. */
    static final long DIAGNOSIS_INTERVAL_MILLIS = 1_000;

    private final long mTerm;
    private final LongRunningWaits mWaits;
    private final Consumer<String> mLines;
    private final LogBudget mBudget = new LogBudget(LINES_PER_SECOND);
    private final SettableGauge<Long> mLongestMillis;
    private final SettableGauge<Long> mWaiting;
    private final Map<TaskId, Logged> mLogged = new HashMap<>();
    private long mDiagnosedMillis = Long.MIN_VALUE / 2;

    /** What the last line about a wait said. */
    private record Logged(long sinceMillis, WaitReason reason, long loggedMillis) {}

    WaitLog(long term, LongRunningWaits waits, MetricRegistry metrics) {
        this(term, waits, metrics, line -> Logger.info(line));
    }

    /**
     * Creates the log of one owner.
     *
     * @param lines writes a line
     */
    WaitLog(long term, LongRunningWaits waits, MetricRegistry metrics, Consumer<String> lines) {
        mTerm = term;
        mWaits = waits;
        mLines = lines;
        mLongestMillis = metrics.gauge(LONGEST_WAIT_MILLIS);
        mWaiting = metrics.gauge(WAITING);
        clearGauges();
    }

    /**
     * Observes the waits, and writes the lines that are due.
     *
     * @param mayAct whether this daemon may start tasks at all
     */
    void tick(boolean mayAct, long nowMillis, long epochMillis) {
        mWaits.observe(nowMillis, epochMillis);
        mLongestMillis.setValue(mWaits.longestMillis(nowMillis));
        mWaiting.setValue((long) mWaits.count());
        logOver(nowMillis);
        if (nowMillis - mDiagnosedMillis >= DIAGNOSIS_INTERVAL_MILLIS) {
            mDiagnosedMillis = nowMillis;
            logWaits(mWaits.diagnose(THRESHOLD_MILLIS, mayAct, nowMillis), nowMillis);
        }
        reportLeftOut(nowMillis);
    }

    /** Ends the log: an owner that was replaced knows of no waits. */
    void close(long nowMillis) {
        clearGauges();
        reportLeftOut(nowMillis + LogBudget.INTERVAL_MILLIS);
    }

    private void clearGauges() {
        mLongestMillis.setValue(0L);
        mWaiting.setValue(0L);
    }

    private void logOver(long nowMillis) {
        for (Map.Entry<TaskId, Logged> entry : Map.copyOf(mLogged).entrySet()) {
            TaskId task = entry.getKey();
            Logged logged = entry.getValue();
            if (mWaits.isWaiting(task)) {
                continue;
            }
            mLogged.remove(task);
            if (mayWrite(nowMillis)) {
                mLines.accept(
                        "task: event=wait-over "
                                + describe(task, logged.sinceMillis(), logged.reason(), nowMillis)
                                + " running="
                                + mWaits.isRunning(task));
            }
        }
    }

    private void logWaits(List<TaskWait> waits, long nowMillis) {
        List<TaskWait> due = new ArrayList<>();
        for (TaskWait wait : waits) {
            Logged logged = mLogged.get(wait.task());
            if (logged == null
                    || logged.reason() != wait.reason()
                    || nowMillis - logged.loggedMillis() >= REPEAT_MILLIS) {
                due.add(wait);
            }
        }
        // Each wait is logged at some time, also if the budget does not suffice for all of them.
        due.sort(Comparator.comparingLong(wait -> loggedMillis(wait.task())));
        for (TaskWait wait : due) {
            if (mayWrite(nowMillis)) {
                mLogged.put(wait.task(), new Logged(wait.sinceMillis(), wait.reason(), nowMillis));
                String waiting =
                        describe(wait.task(), wait.sinceMillis(), wait.reason(), nowMillis);
                mLines.accept("task: event=waiting " + waiting + " " + wait.detail());
            }
        }
    }

    private long loggedMillis(TaskId task) {
        Logged logged = mLogged.get(task);
        return logged == null ? Long.MIN_VALUE : logged.loggedMillis();
    }

    private String describe(TaskId task, long sinceMillis, WaitReason reason, long nowMillis) {
        return "id="
                + task.jobId()
                + " task="
                + task.name()
                + " term="
                + mTerm
                + " waitMillis="
                + (nowMillis - sinceMillis)
                + " reason="
                + reason.word();
    }

    private boolean mayWrite(long nowMillis) {
        reportLeftOut(nowMillis);
        return mBudget.admit(nowMillis);
    }

    private void reportLeftOut(long nowMillis) {
        long leftOut = mBudget.takeLeftOut(nowMillis);
        if (leftOut > 0) {
            mLines.accept(
                    "task: event=lines-left-out kind=wait term=" + mTerm + " count=" + leftOut);
        }
    }
}

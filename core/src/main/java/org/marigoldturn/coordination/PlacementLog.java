package org.marigoldturn.coordination;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.function.Consumer;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.LearnedDurations;
import org.marigoldturn.scheduling.PlacementWaits;
import org.tinylog.Logger;

/**
 * Logs waits for preferred placements within a budget, and publishes how they end and how far the
 * durations of runs were from what was expected. Confined to the control thread.
 */
final class PlacementLog {
    static final String BEGUN = "placement.waits";
    static final String PAID_OFF = "placement.waits-paid-off";
    static final String GIVEN_UP = "placement.waits-given-up";
    static final String WAITED_MILLIS = "placement.waited-millis";
    static final String FAR_RUNS = "placement.far-runs";

    /** Metric: the durations of runs in percent of what was expected before they ended. */
    static final String ACTUAL_PERCENT = "runs.actual-percent-of-expected";

    /** Most lines in a second; further ones are left out and counted. */
    static final int LINES_PER_SECOND = 10;

    private final JobScheduler mScheduler;
    private final long mTerm;
    private final MetricRegistry mMetrics;
    private final Histogram mActualPercent;
    private final Consumer<String> mLines;
    private final LogBudget mBudget = new LogBudget(LINES_PER_SECOND);

    PlacementLog(JobScheduler scheduler, long term, MetricRegistry metrics) {
        this(scheduler, term, metrics, line -> Logger.info(line));
    }

    /**
     * Creates the log of one owner.
     *
     * @param lines writes a line
     */
    PlacementLog(
            JobScheduler scheduler, long term, MetricRegistry metrics, Consumer<String> lines) {
        mScheduler = scheduler;
        mTerm = term;
        mMetrics = metrics;
        mActualPercent = metrics.histogram(ACTUAL_PERCENT);
        mLines = lines;
    }

    void tick(long nowMillis) {
        for (PlacementWaits.Begun wait : mScheduler.placementWaits().takeBegun()) {
            reportLeftOut(nowMillis);
            if (mBudget.admit(nowMillis)) {
                mLines.accept(
                        "task: event=placement-wait id="
                                + wait.task().jobId()
                                + " task="
                                + wait.task().name()
                                + " term="
                                + mTerm
                                + " rack="
                                + wait.rack()
                                + " longestMillis="
                                + wait.longestMillis()
                                + " roomInMillis="
                                + wait.roomInMillis());
            }
        }
        reportLeftOut(nowMillis);
        publish(mScheduler.placementWaits().takeCounts());
        for (LearnedDurations.Sample run : mScheduler.durations().takeSamples()) {
            mActualPercent.update(100 * run.actualMillis() / Math.max(1, run.expectedMillis()));
        }
    }

    /** Ends the log. */
    void close(long nowMillis) {
        tick(nowMillis);
        reportLeftOut(nowMillis + LogBudget.INTERVAL_MILLIS);
    }

    private void publish(PlacementWaits.Counts counts) {
        counter(BEGUN).inc(counts.begun());
        counter(PAID_OFF).inc(counts.paidOff());
        counter(GIVEN_UP).inc(counts.givenUp());
        counter(WAITED_MILLIS).inc(counts.waitedMillis());
        counter(FAR_RUNS).inc(counts.farRuns());
    }

    private Counter counter(String name) {
        return mMetrics.counter(name);
    }

    private void reportLeftOut(long nowMillis) {
        long leftOut = mBudget.takeLeftOut(nowMillis);
        if (leftOut > 0) {
            mLines.accept(
                    "task: event=lines-left-out kind=placement-wait term="
                            + mTerm
                            + " count="
                            + leftOut);
        }
    }
}

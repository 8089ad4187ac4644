package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.IntCountsHistogram;
import org.marigoldturn.jobs.StepSpec;

/**
 * Learns by which ratio the durations of runs differ from the clients' estimates, by queue and size
 * of the estimate.
 *
 * <p>It addresses estimates that are off by a multiple, which make forecasts of the backlog and of
 * the ends of runs wrong. The estimate itself holds until enough runs have ended. Invariants: at
 * most {@link #MAX_CLASSES} classes are kept, the least recently used one is evicted; a ratio comes
 * from the last one to two periods of at least {@link #PERIOD_RUNS} runs and {@link #PERIOD_MILLIS}
 * of its class. Confined to the control thread.
 */
public final class LearnedDurations {
    /** Bounds the memory to less than 1 MB: one class takes two histograms of about 6 KB. */
    static final int MAX_CLASSES = 64;

    /** Runs of a class that must have ended before its ratio is used. */
    static final int MIN_RUNS = 16;

    /** A period ends after at least as many runs as are needed for a ratio. */
    static final int PERIOD_RUNS = 64;

    /** Longer than a burst of demand, so that a quiet phase does not displace what it showed. */
    static final long PERIOD_MILLIS = 30_000;

    /** Samples that are kept until they are taken; bounds the memory if nobody takes them. */
    static final int MAX_SAMPLES = 1_000;

    /** Ratios are recorded in thousandths, up to 100 times the estimate. */
    private static final long RATIO_UNIT = 1_000;

    private static final long MAX_RATIO = 100 * RATIO_UNIT;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double TAIL_PERCENTILE = 95;

    private final Map<Key, Ratios> mRatios = new LinkedHashMap<>(16, 0.75f, true);
    private final List<Sample> mSamples = new ArrayList<>();
    private boolean mEnabled;

    /**
     * A run that has ended as done.
     *
     * @param expectedMillis duration that was expected before the run was recorded
     * @param actualMillis its duration, as if it had run near its data
     */
    public record Sample(long expectedMillis, long actualMillis) {}

    private record Key(String queue, int sizeClass) {}

    /**
     * Two overlapping histograms: one that is read, and one that replaces it once a period is over,
     * so that old runs lose their influence.
     */
    private static final class Ratios {
        private IntCountsHistogram mRead = histogram();
        private IntCountsHistogram mNext = histogram();
        private long mPeriodStartMillis;
        private double mMean = 1;
        private double mTail = 1;

        Ratios(long nowMillis) {
            mPeriodStartMillis = nowMillis;
        }

        private static IntCountsHistogram histogram() {
            return new IntCountsHistogram(1, MAX_RATIO, SIGNIFICANT_DIGITS);
        }

        void record(long ratio, long nowMillis) {
            long bounded = Math.max(1, Math.min(ratio, MAX_RATIO));
            mRead.recordValue(bounded);
            mNext.recordValue(bounded);
            boolean periodOver = nowMillis - mPeriodStartMillis >= PERIOD_MILLIS;
            if (periodOver && mNext.getTotalCount() >= PERIOD_RUNS) {
                IntCountsHistogram old = mRead;
                mRead = mNext;
                old.reset();
                mNext = old;
                mPeriodStartMillis = nowMillis;
            }
            if (mRead.getTotalCount() >= MIN_RUNS) {
                mMean = mRead.getMean() / RATIO_UNIT;
                mTail = (double) mRead.getValueAtPercentile(TAIL_PERCENTILE) / RATIO_UNIT;
            }
        }
    }

    /** Sets whether learned ratios are used; they are learned in any case. */
    void setEnabled(boolean enabled) {
        mEnabled = enabled;
    }

    /** Returns the expected duration of a task, the estimate while too little is known. */
    long expectedMillis(String queue, long estimateMillis) {
        Ratios ratios = mEnabled ? mRatios.get(key(queue, estimateMillis)) : null;
        return ratios == null ? estimateMillis : Math.round(estimateMillis * ratios.mMean);
    }

    /**
     * Returns a duration that 95 of 100 tasks do not exceed, the estimate while too little is
     * known; never less than the expected one.
     */
    long tailMillis(String queue, long estimateMillis) {
        Ratios ratios = mEnabled ? mRatios.get(key(queue, estimateMillis)) : null;
        return ratios == null
                ? estimateMillis
                : Math.round(estimateMillis * Math.max(ratios.mMean, ratios.mTail));
    }

    /** Returns the expected work of one task of a step, in thousandths of a core-second. */
    long coreMillis(String queue, StepSpec step) {
        return step.reservedResources().cpuMillicores()
                * expectedMillis(queue, step.estimateMillis())
                / 1_000;
    }

    /**
     * Records a run that has ended as done; tasks without an estimate are left out.
     *
     * @param durationMillis its duration, as if it had run near its data
     */
    void record(String queue, long estimateMillis, long durationMillis, long nowMillis) {
        if (estimateMillis <= 0 || durationMillis < 0) {
            return;
        }
        if (mSamples.size() < MAX_SAMPLES) {
            mSamples.add(new Sample(expectedMillis(queue, estimateMillis), durationMillis));
        }
        mRatios.computeIfAbsent(key(queue, estimateMillis), k -> new Ratios(nowMillis))
                .record(durationMillis * RATIO_UNIT / estimateMillis, nowMillis);
        if (mRatios.size() > MAX_CLASSES) {
            mRatios.remove(mRatios.keySet().iterator().next());
        }
    }

    /** Returns and clears the runs that were recorded since the last call. */
    public List<Sample> takeSamples() {
        List<Sample> samples = List.copyOf(mSamples);
        mSamples.clear();
        return samples;
    }

    int countClasses() {
        return mRatios.size();
    }

    /** Estimates within a factor of two are in one class. */
    private static Key key(String queue, long estimateMillis) {
        return new Key(queue, Long.SIZE - Long.numberOfLeadingZeros(estimateMillis));
    }
}

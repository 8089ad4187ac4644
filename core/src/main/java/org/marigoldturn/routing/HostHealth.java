package org.marigoldturn.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Health of the hosts of one pool, judged by the outcomes of this daemon's requests.
 *
 * <p>Invariant: at most {@link #MAX_EJECTED_PERCENT} of the pool's hosts are ejected. Thread safe;
 * the present time is an argument.
 */
public final class HostHealth {
    /** Beyond this part a common cause is more likely than many faulty hosts. */
    public static final int MAX_EJECTED_PERCENT = 30;

    static final int FAILURES_IN_ROW = 5;
    static final int MIN_OUTCOMES = 10;
    static final long FIRST_EJECTION_NANOS = 5_000_000_000L;
    static final long MAX_EJECTION_NANOS = 60_000_000_000L;

    /** Keeps daemons from trying a host at the same moment. */
    private static final double JITTER = 0.2;

    private final RandomGenerator mRandom;
    private final Map<String, HostRecord> mRecords = new HashMap<>();

    /** Creates the state of a pool without any outcome. */
    public HostHealth(RandomGenerator random) {
        mRandom = random;
    }

    /** Forgets hosts that are not in the pool any more. */
    public synchronized void retain(Collection<String> hosts) {
        mRecords.keySet().retainAll(new HashSet<>(hosts));
    }

    /** Counts a complete answer that was no server error; ends a trial. */
    public synchronized void onSuccess(String host, long nowNanos) {
        HostRecord record = record(host);
        boolean trialPassed = record.mTrialRunning;
        if (trialPassed) {
            record.mTrialRunning = false;
            record.mEjected = false;
            record.forgetOutcomes();
        }
        record.add(true, nowNanos);
        boolean recovered = !record.mEjected && record.outcomes(nowNanos) >= MIN_OUTCOMES;
        if (recovered && record.failures(nowNanos) == 0) {
            record.mEjections = 0;
        }
    }

    /** Counts a failure; ejects the host if it failed too often. Returns whether it was ejected. */
    public synchronized boolean onFailure(String host, int poolHosts, long nowNanos) {
        HostRecord record = record(host);
        record.add(false, nowNanos);
        if (record.mTrialRunning) {
            record.mTrialRunning = false;
            eject(record, nowNanos);
            return true;
        }
        if (record.mEjected || !failsTooOften(record, nowNanos)) {
            return false;
        }
        if ((ejected() + 1) * 100 > poolHosts * MAX_EJECTED_PERCENT) {
            return false;
        }
        eject(record, nowNanos);
        return true;
    }

    /** Returns what the host may be used for. */
    public synchronized HostVerdict verdict(String host, long nowNanos) {
        HostRecord record = mRecords.get(host);
        if (record == null || !record.mEjected) {
            return HostVerdict.USABLE;
        }
        boolean due = nowNanos - record.mEjectedUntilNanos >= 0 && !record.mTrialRunning;
        return due ? HostVerdict.TRIAL_DUE : HostVerdict.EJECTED;
    }

    /** Starts the trial request of an ejected host; returns false if another one was first. */
    public synchronized boolean tryBeginTrial(String host, long nowNanos) {
        if (verdict(host, nowNanos) != HostVerdict.TRIAL_DUE) {
            return false;
        }
        record(host).mTrialRunning = true;
        return true;
    }

    /** Ends a trial that gave no verdict, so that another one may start. */
    public synchronized void abandonTrial(String host) {
        record(host).mTrialRunning = false;
    }

    /** Returns the failures of the last 10 s. */
    public synchronized int recentFailures(String host, long nowNanos) {
        HostRecord record = mRecords.get(host);
        return record == null ? 0 : record.failures(nowNanos);
    }

    /** Returns the number of ejected hosts. */
    public synchronized int ejected() {
        return (int) mRecords.values().stream().filter(record -> record.mEjected).count();
    }

    private static boolean failsTooOften(HostRecord record, long nowNanos) {
        if (record.failuresInRow() >= FAILURES_IN_ROW) {
            return true;
        }
        int outcomes = record.outcomes(nowNanos);
        return outcomes >= MIN_OUTCOMES && record.failures(nowNanos) * 2 > outcomes;
    }

    private void eject(HostRecord record, long nowNanos) {
        long duration =
                Math.min(
                        MAX_EJECTION_NANOS, FIRST_EJECTION_NANOS << Math.min(4, record.mEjections));
        record.mEjections++;
        record.mEjected = true;
        long jitter = (long) (duration * JITTER * mRandom.nextDouble());
        record.mEjectedUntilNanos = nowNanos + Math.min(MAX_EJECTION_NANOS, duration + jitter);
    }

    private HostRecord record(String host) {
        return mRecords.computeIfAbsent(host, h -> new HostRecord());
    }
}

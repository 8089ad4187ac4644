package org.marigoldturn.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * Tracks the health of the hosts of one pool by the outcomes of this daemon's requests and by the
 * ejections that other daemons report.
 *
 * <p>A host is ejected when too many requests of this daemon to it fail, and suspect when other
 * daemons report its ejection; both are out of use. Invariant: at most {@link #MAX_EJECTED_PERCENT}
 * of the pool's hosts are out of use. Outcomes of this daemon's own requests override reports: a
 * host that mostly succeeds contradicts them, and when the limit is reached, an own ejection
 * replaces a reported one. Thread safe; methods take the present time as an argument.
 */
public final class HostHealth {
    /** If more hosts fail, a common cause is more likely than many faulty hosts. */
    public static final int MAX_EJECTED_PERCENT = 30;

    /** A host is ejected after this number of consecutive failures. */
    static final int CONSECUTIVE_FAILURES_TO_EJECT = 5;

    /** A failure rate above one half ejects a host only after this number of recent outcomes. */
    static final int MIN_OUTCOMES = 10;

    /** Duration of the first ejection; doubled for each further one, up to the maximum. */
    static final long FIRST_EJECTION_NANOS = 5_000_000_000L;

    static final long MAX_EJECTION_NANOS = 60_000_000_000L;

    /** Fraction by which ejections vary, so that daemons do not try a host at the same time. */
    private static final double JITTER_FRACTION = 0.2;

    private final RandomGenerator mRandom;
    private final Map<String, HostRecord> mRecords = new HashMap<>();

    /** Creates the state of a pool without outcomes. */
    public HostHealth(RandomGenerator random) {
        mRandom = random;
    }

    /** Forgets hosts that are not in the pool any more. */
    public synchronized void retain(Collection<String> hosts) {
        mRecords.keySet().retainAll(new HashSet<>(hosts));
    }

    /** Counts a complete response other than a server error; ends a trial with success. */
    public synchronized void onSuccess(String host, long nowNanos) {
        HostRecord record = record(host);
        boolean trialPassed = record.mTrialRunning;
        if (trialPassed) {
            record.mTrialRunning = false;
            record.mEjected = false;
            record.forgetOutcomes();
        }
        record.add(true, nowNanos);
        if (record.mSuspect && record.mostlySucceeds(nowNanos)) {
            clearSuspicion(record);
        }
        boolean recovered = !record.mEjected && record.outcomes(nowNanos) >= MIN_OUTCOMES;
        if (recovered && record.failures(nowNanos) == 0) {
            record.mEjections = 0;
        }
    }

    /** Counts a failure, and ejects a host that fails too often. Returns whether it was ejected. */
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
        if (!record.mSuspect && !mayTakeAnotherOutOfUse(poolHosts) && !releaseSuspect()) {
            return false;
        }
        eject(record, nowNanos);
        return true;
    }

    /** Returns whether the host may be used, for all requests or for a trial. */
    public synchronized HostVerdict verdict(String host, long nowNanos) {
        HostRecord record = mRecords.get(host);
        if (record == null || !record.isOutOfUse()) {
            return HostVerdict.USABLE;
        }
        boolean due = nowNanos - record.mEjectedUntilNanos >= 0 && !record.mTrialRunning;
        return due ? HostVerdict.TRIAL_DUE : HostVerdict.EJECTED;
    }

    /**
     * Returns whether a trial has been due for so long that a request that is not idempotent may
     * serve as one. Otherwise a host whose pool gets no idempotent request would never return.
     */
    public synchronized boolean isTrialOverdue(String host, long nowNanos) {
        return verdict(host, nowNanos) == HostVerdict.TRIAL_DUE
                && nowNanos - record(host).mEjectedUntilNanos >= MAX_EJECTION_NANOS;
    }

    /** Starts the trial of a host; returns false if none is due, or another one has started. */
    public synchronized boolean tryBeginTrial(String host, long nowNanos) {
        if (verdict(host, nowNanos) != HostVerdict.TRIAL_DUE) {
            return false;
        }
        record(host).mTrialRunning = true;
        return true;
    }

    /** Ends a trial without success or failure, so that another one may start. */
    public synchronized void abandonTrial(String host) {
        record(host).mTrialRunning = false;
    }

    /** Returns the number of failures in the last 10 s. */
    public synchronized int recentFailures(String host, long nowNanos) {
        HostRecord record = mRecords.get(host);
        return record == null ? 0 : record.failures(nowNanos);
    }

    /**
     * Takes hosts out of use that other daemons have ejected, within the limit of the pool.
     *
     * <p>A suspect host returns by a trial request, by a success if it mostly succeeds, when the
     * reports end, and after {@link #MAX_EJECTION_NANOS} at the latest, so that a wrong report
     * cannot keep it out of use where no request can serve as a trial.
     *
     * @param suspects all suspect hosts of the pool, reported by most daemons first
     */
    public synchronized void setSuspects(List<String> suspects, int poolHosts, long nowNanos) {
        Set<String> reported = new HashSet<>(suspects);
        mRecords.forEach(
                (host, record) -> {
                    if (!reported.contains(host)) {
                        endSuspicion(record);
                        record.mSuspicionCleared = false;
                    } else if (record.mSuspect
                            && nowNanos - record.mSuspectedSinceNanos >= MAX_EJECTION_NANOS) {
                        clearSuspicion(record);
                    }
                });
        for (int i = 0; i < suspects.size(); i++) {
            HostRecord record = record(suspects.get(i));
            boolean contradicted = record.mSuspicionCleared || record.mostlySucceeds(nowNanos);
            if (!record.isOutOfUse()
                    && !contradicted
                    && (mayTakeAnotherOutOfUse(poolHosts) || releaseLessReported(suspects, i))) {
                record.mSuspect = true;
                record.mSuspectedSinceNanos = nowNanos;
                record.mOutcomesBefore = record.outcomes(nowNanos);
                record.mEjectedUntilNanos = nowNanos + withJitter(FIRST_EJECTION_NANOS);
            }
        }
    }

    /** Returns the report of this daemon about a host to the others. */
    public synchronized HostHealthReport report(String host, long nowNanos) {
        HostRecord record = mRecords.get(host);
        if (record == null) {
            return new HostHealthReport(host, false, 0);
        }
        int outcomes = record.isOutOfUse() ? record.mOutcomesBefore : record.outcomes(nowNanos);
        return new HostHealthReport(host, record.mEjected, outcomes);
    }

    /** Returns the hosts that are ejected by the outcomes of this daemon. */
    public synchronized Set<String> ejectedHosts() {
        Set<String> hosts = new TreeSet<>();
        mRecords.forEach(
                (host, record) -> {
                    if (record.mEjected) {
                        hosts.add(host);
                    }
                });
        return hosts;
    }

    /** Returns the number of hosts that are ejected or suspect. */
    public synchronized int outOfUseCount() {
        return (int) mRecords.values().stream().filter(HostRecord::isOutOfUse).count();
    }

    /** Returns the number of ejected hosts. */
    public synchronized int ejectedCount() {
        return (int) mRecords.values().stream().filter(record -> record.mEjected).count();
    }

    private static boolean failsTooOften(HostRecord record, long nowNanos) {
        if (record.consecutiveFailures() >= CONSECUTIVE_FAILURES_TO_EJECT) {
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
        if (!record.isOutOfUse()) {
            record.mOutcomesBefore = record.outcomes(nowNanos);
        }
        record.mEjected = true;
        record.mSuspect = false;
        record.mEjectedUntilNanos = nowNanos + Math.min(MAX_EJECTION_NANOS, withJitter(duration));
    }

    private long withJitter(long durationNanos) {
        return durationNanos + (long) (durationNanos * JITTER_FRACTION * mRandom.nextDouble());
    }

    private boolean mayTakeAnotherOutOfUse(int poolHosts) {
        return (outOfUseCount() + 1) * 100 <= poolHosts * MAX_EJECTED_PERCENT;
    }

    /**
     * Puts the last suspect host after the given index, which fewest daemons report, back in use.
     */
    private boolean releaseLessReported(List<String> suspects, int index) {
        for (int i = suspects.size() - 1; i > index; i--) {
            HostRecord record = record(suspects.get(i));
            if (record.mSuspect) {
                endSuspicion(record);
                return true;
            }
        }
        return false;
    }

    /** Puts one suspect host back in use, so that an own ejection can take its place. */
    private boolean releaseSuspect() {
        for (HostRecord record : mRecords.values()) {
            if (record.mSuspect) {
                clearSuspicion(record);
                return true;
            }
        }
        return false;
    }

    private static void clearSuspicion(HostRecord record) {
        endSuspicion(record);
        record.mSuspicionCleared = true;
    }

    private static void endSuspicion(HostRecord record) {
        if (record.mSuspect) {
            record.mSuspect = false;
            record.mTrialRunning = false;
        }
    }

    private HostRecord record(String host) {
        return mRecords.computeIfAbsent(host, h -> new HostRecord());
    }
}

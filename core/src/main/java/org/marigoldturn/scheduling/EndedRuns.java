package org.marigoldturn.scheduling;

import java.util.List;

/**
 * Runs that the owner takes as ended without a report of their ends. Immutable.
 *
 * @param target the incarnation that had the runs
 * @param cause why they have ended
 * @param nextStartedEpochMillis wall-clock start of the incarnation that has replaced the target; 0
 *     if none was listed
 * @param runs the runs that could exist there
 * @param abandoned number of runs that were given up before although their start order could still
 *     be carried out
 */
public record EndedRuns(
        TargetState target,
        Cause cause,
        long nextStartedEpochMillis,
        List<EndedRun> runs,
        int abandoned) {
    public EndedRuns {
        runs = List.copyOf(runs);
    }

    /** Why runs have ended. */
    public enum Cause {
        /** The platform's list has a later incarnation. */
        REPLACED,
        /** The incarnation has ended. */
        ENDED,
        /** The lease has expired. */
        LEASE_EXPIRED
    }

    /**
     * A run and what was known of it when it was taken as ended.
     *
     * @param phase what the responses to its orders and the reports have told
     * @param listed whether its target has listed it as running
     */
    public record EndedRun(Run run, String phase, boolean listed) {
        static EndedRun of(Run run) {
            return new EndedRun(run, run.phase().name(), run.wasListed());
        }
    }

    /** Returns what is known of the runs on an incarnation that has ended. */
    public static EndedRuns of(TargetState target) {
        return of(target, Cause.ENDED, 0);
    }

    static EndedRuns of(TargetState target, Cause cause, long nextStartedEpochMillis) {
        return new EndedRuns(
                target,
                cause,
                nextStartedEpochMillis,
                target.runs().stream().map(EndedRun::of).toList(),
                target.abandonedRuns().size());
    }

    /** Counts the runs that the target has not listed. */
    public long countNeverListed() {
        return runs.stream().filter(run -> !run.listed()).count();
    }
}

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
        /** A later incarnation has responded. */
        RESTARTED,
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
     * @param moved whether the later incarnation of its target may have carried out its start order
     */
    public record EndedRun(Run run, String phase, boolean listed, boolean moved) {
        static EndedRun of(Run run, Cause cause) {
            boolean hasNext = cause == Cause.REPLACED || cause == Cause.RESTARTED;
            return new EndedRun(
                    run,
                    run.phase().name(),
                    run.wasListed(),
                    hasNext && run.mayExistAtNextIncarnation());
        }
    }

    static EndedRuns of(TargetState target, Cause cause, long nextStartedEpochMillis) {
        return new EndedRuns(
                target,
                cause,
                nextStartedEpochMillis,
                target.runs().stream().map(run -> EndedRun.of(run, cause)).toList(),
                target.abandonedRuns().size());
    }

    /** Counts the runs that the target has not listed. */
    public long countNeverListed() {
        return runs.stream().filter(run -> !run.listed()).count();
    }
}

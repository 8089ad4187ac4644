package org.marigoldturn.scheduling;

import java.util.List;

/**
 * What the owner concluded from a target's report.
 *
 * @param ends the ends that were not processed before
 * @param unlistedRuns runs that do not exist any more, since the report lists neither them nor
 *     their ends
 * @param keptRuns runs whose stop was withdrawn, since they run although their start order has no
 *     response
 * @param adoptedRuns runs that the target lists and that were not known to be there
 */
public record ReportEffects(
        List<ProcessedEnd> ends,
        List<Run> unlistedRuns,
        List<Run> keptRuns,
        List<AdoptedRun> adoptedRuns) {
    public ReportEffects {
        ends = List.copyOf(ends);
        unlistedRuns = List.copyOf(unlistedRuns);
        keptRuns = List.copyOf(keptRuns);
        adoptedRuns = List.copyOf(adoptedRuns);
    }

    /** Returns the effects of a report of a target that is no longer known. */
    static ReportEffects ignored(TargetReport report) {
        return new ReportEffects(
                report.ends().stream()
                        .map(end -> new ProcessedEnd(end, EndEffect.IGNORED_UNKNOWN_TARGET))
                        .toList(),
                List.of(),
                List.of(),
                List.of());
    }

    /** An end and what the owner concluded from it. */
    public record ProcessedEnd(TargetReport.RunEnd end, EndEffect effect) {}

    /**
     * A run that was not known.
     *
     * @param needed whether it is kept; it is stopped otherwise
     */
    public record AdoptedRun(Run run, boolean needed) {}
}

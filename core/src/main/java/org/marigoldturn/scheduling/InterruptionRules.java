package org.marigoldturn.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marigoldturn.jobs.StepSpec;

/** Says what planned work on a host would interrupt. Confined to the control thread. */
public final class InterruptionRules {
    private final JobTable mJobs;

    InterruptionRules(JobTable jobs) {
        mJobs = jobs;
    }

    /** Returns whether everything on a target may be ended by planned work now. */
    public boolean mayInterrupt(TargetState target) {
        return blocker(target).isEmpty();
    }

    /**
     * Returns the step whose budget forbids to end everything on a target now, in words for a log.
     *
     * <p>Each lasting task there counts against the budget of its step, together with all others of
     * the step that are not at work for whatever reason.
     */
    public Optional<String> blocker(TargetState target) {
        Map<StepState, Integer> ended = new HashMap<>();
        for (Run run : target.runs()) {
            StepState step = mJobs.step(run.task());
            if (step == null || !step.job().isActive() || !hasBudget(step.spec())) {
                continue;
            }
            int together = ended.merge(step, run.isAtWork() ? 1 : 0, Integer::sum);
            int budget = step.spec().maxUnavailable();
            if (step.countAway() + together > budget) {
                return Optional.of(
                        "id=%s step=%d away=%d budget=%d"
                                .formatted(
                                        run.task().jobId(),
                                        step.number(),
                                        step.countAway(),
                                        budget));
            }
        }
        return Optional.empty();
    }

    /**
     * Stops one task on a target that shares it with others of its step, if the budget allows that
     * now, so that the rest can be ended together later.
     */
    public Optional<Run> relocateOne(TargetState target) {
        Set<StepState> seen = new HashSet<>();
        for (Run run : target.runs()) {
            StepState step = mJobs.step(run.task());
            if (step == null || !step.job().isActive() || !hasBudget(step.spec())) {
                continue;
            }
            boolean shared = !seen.add(step);
            if (shared && run.isAtWork() && step.countAway() < step.spec().maxUnavailable()) {
                run.requestStop();
                return Optional.of(run);
            }
        }
        return Optional.empty();
    }

    private static boolean hasBudget(StepSpec spec) {
        return spec.traits().longRunning() && spec.maxUnavailable() != StepSpec.NO_BUDGET;
    }

    /** Returns whether only lasting tasks are left on a target. */
    public boolean isQuiet(TargetState target) {
        for (Run run : target.runs()) {
            StepState step = mJobs.step(run.task());
            if (step == null || !step.spec().traits().longRunning()) {
                return false;
            }
        }
        return true;
    }
}

package org.marigoldturn.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marigoldturn.jobs.StepSpec;

/**
 * Decides whether planned work on a host may interrupt the runs of its target. Confined to the
 * control thread.
 */
public final class InterruptionRules {
    private final JobTable mJobs;
    private final RoomElsewhere mRoomElsewhere;

    /** Tells whether a task of a step would find room on another target than the given one. */
    interface RoomElsewhere {
        boolean exists(StepState step, TargetState target, long nowMillis);
    }

    InterruptionRules(JobTable jobs, RoomElsewhere roomElsewhere) {
        mJobs = jobs;
        mRoomElsewhere = roomElsewhere;
    }

    /** Returns whether planned work may end all runs on a target now. */
    public boolean mayInterrupt(TargetState target) {
        return describeBlockingStep(target).isEmpty();
    }

    /**
     * Returns a description, for logs, of a step whose availability budget forbids ending all runs
     * on a target now; empty if there is none.
     *
     * <p>Each long-running task there counts against the budget of its step, together with all
     * other tasks of the step that are unavailable for any reason.
     */
    public Optional<String> describeBlockingStep(TargetState target) {
        Map<StepState, Integer> ended = new HashMap<>();
        for (Run run : target.runs()) {
            StepState step = mJobs.step(run.task());
            if (step == null || !step.job().isActive() || !hasBudget(step.spec())) {
                continue;
            }
            int endedHere = ended.merge(step, run.isAvailable() ? 1 : 0, Integer::sum);
            int budget = step.spec().maxUnavailable();
            if (step.countUnavailable() + endedHere > budget) {
                return Optional.of(
                        "id=%s step=%d away=%d budget=%d"
                                .formatted(
                                        run.task().jobId(),
                                        step.number(),
                                        step.countUnavailable(),
                                        budget));
            }
        }
        return Optional.empty();
    }

    /**
     * Requests the stop of one long-running task that shares the target with another task of its
     * step, if the budget of the step allows it now and another target has room for it. Once it has
     * restarted there, the budget may allow the end of the remaining tasks together.
     */
    public Optional<Run> relocateOne(TargetState target, long nowMillis) {
        Set<StepState> seen = new HashSet<>();
        for (Run run : target.runs()) {
            StepState step = mJobs.step(run.task());
            if (step == null || !step.job().isActive() || !hasBudget(step.spec())) {
                continue;
            }
            boolean shared = !seen.add(step);
            if (shared
                    && run.isAvailable()
                    && step.countUnavailable() < step.spec().maxUnavailable()
                    && mRoomElsewhere.exists(step, target, nowMillis)) {
                run.requestStop();
                return Optional.of(run);
            }
        }
        return Optional.empty();
    }

    private static boolean hasBudget(StepSpec spec) {
        return spec.traits().longRunning() && spec.maxUnavailable() != StepSpec.NO_BUDGET;
    }

    /** Returns whether only long-running tasks are left on a target. */
    public boolean hasOnlyLongRunningTasks(TargetState target) {
        for (Run run : target.runs()) {
            StepState step = mJobs.step(run.task());
            if (step == null || !step.spec().traits().longRunning()) {
                return false;
            }
        }
        return true;
    }
}

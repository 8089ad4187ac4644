package org.marigoldturn.jobs;

import java.util.List;

/**
 * One step of a job: equal tasks that may run at the same time. Immutable.
 *
 * @param taskCount number of tasks, at least 1
 * @param needs what one task requests
 * @param estimateMillis the client's rough estimate of a task's duration; 0 if not given
 * @param after numbers of earlier steps that must be done first
 * @param placement where tasks may run
 * @param traits how tasks behave
 * @param image name of what the tasks run, empty if not given
 * @param responseTargetMillis bound of the tail of response times of a serving task; 0 for none
 * @param maxUnavailable tasks of a lasting step that this system may make unavailable at a time;
 *     {@link #NO_BUDGET} for any number
 */
public record StepSpec(
        int taskCount,
        Room needs,
        long estimateMillis,
        List<Integer> after,
        Placement placement,
        Traits traits,
        String image,
        long responseTargetMillis,
        int maxUnavailable) {
    /** The step has no availability budget. */
    public static final int NO_BUDGET = -1;

    /**
     * Rules for the choice of a target.
     *
     * @param requiredLabel label that the target must have; empty for none
     * @param preferredRack rack that holds the data; empty for none
     * @param maxPerTarget tasks of one occurrence on one target; 0 for any number
     * @param sameRack the tasks of a gang are much slower on more than one rack
     */
    public record Placement(
            String requiredLabel, String preferredRack, int maxPerTarget, boolean sameRack) {}

    /**
     * How the tasks of a step behave.
     *
     * @param savesProgress tasks write checkpoints
     * @param gang tasks work only together
     * @param speculative copies of a task may run in parallel
     * @param longRunning tasks run until the job is cancelled
     * @param filling tasks use only the processors that others leave
     */
    public record Traits(
            boolean savesProgress,
            boolean gang,
            boolean speculative,
            boolean longRunning,
            boolean filling) {}

    public StepSpec {
        after = List.copyOf(after);
        if (taskCount < 1) {
            throw new IllegalArgumentException("a step has " + taskCount + " tasks");
        }
        if (needs.cpuMillicores() < 0 || needs.memoryMegabytes() < 0 || needs.accelerators() < 0) {
            throw new IllegalArgumentException("negative needs " + needs);
        }
        if (estimateMillis < 0) {
            throw new IllegalArgumentException("negative estimate " + estimateMillis + " ms");
        }
    }

    /** Returns what one task takes of a target's capacity. */
    public Room claim() {
        return traits.filling() ? needs.withoutCpu() : needs;
    }
}

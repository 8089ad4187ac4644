package org.marigoldturn.jobs;

import java.util.List;

/**
 * Specification of one step of a job: identical tasks that may run at the same time. Immutable.
 *
 * @param taskCount number of tasks, at least 1
 * @param needs resources that one task requests
 * @param estimateMillis the client's rough estimate of a task's duration; 0 if not given
 * @param after numbers of the earlier steps that must be done before this one starts
 * @param placement rules for the choice of targets
 * @param traits properties of the tasks
 * @param image name of the image that the tasks run; empty if not given
 * @param responseTargetMillis bound on the tail of the response times of a task that serves
 *     requests; 0 for none
 * @param maxUnavailable availability budget: number of tasks of a long-running step that planned
 *     work may make unavailable at the same time; {@link #NO_BUDGET} for any number
 */
public record StepSpec(
        int taskCount,
        ResourceAmounts needs,
        long estimateMillis,
        List<Integer> after,
        Placement placement,
        Traits traits,
        String image,
        long responseTargetMillis,
        int maxUnavailable) {
    /** Value of {@code maxUnavailable} for a step without an availability budget. */
    public static final int NO_BUDGET = -1;

    /**
     * Rules for the choice of a target.
     *
     * @param requiredLabel label that the target must have; empty for none
     * @param preferredRack rack that holds the data of the tasks; empty for none
     * @param maxPerTarget maximum number of tasks of this step in one occurrence on one target; 0
     *     for any number
     * @param sameRack whether the tasks of a gang should share a rack because they are much slower
     *     on several racks
     */
    public record Placement(
            String requiredLabel, String preferredRack, int maxPerTarget, boolean sameRack) {}

    /**
     * Properties of the tasks of a step.
     *
     * @param savesProgress whether tasks write checkpoints
     * @param gang whether tasks can run only all together
     * @param speculative whether copies of a task may run in parallel
     * @param longRunning whether tasks run until the job is cancelled
     * @param usesSpareCpuOnly whether tasks use only CPU that other tasks leave unused
     */
    public record Traits(
            boolean savesProgress,
            boolean gang,
            boolean speculative,
            boolean longRunning,
            boolean usesSpareCpuOnly) {}

    public StepSpec {
        after = List.copyOf(after);
        if (taskCount < 1) {
            throw new IllegalArgumentException(
                    "a step has " + taskCount + " tasks; at least 1 is required");
        }
        if (needs.cpuMillicores() < 0 || needs.memoryMegabytes() < 0 || needs.accelerators() < 0) {
            throw new IllegalArgumentException(
                    "the resources of a task must not be negative: " + needs);
        }
        if (estimateMillis < 0) {
            throw new IllegalArgumentException(
                    "the estimate of a task must not be negative: " + estimateMillis + " ms");
        }
    }

    /** Returns the resources that one task reserves at its target. */
    public ResourceAmounts reservedResources() {
        return traits.usesSpareCpuOnly() ? needs.withoutCpu() : needs;
    }
}

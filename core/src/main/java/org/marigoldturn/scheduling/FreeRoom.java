package org.marigoldturn.scheduling;

import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.StepSpec;

/**
 * Tells whether a step fits into the free capacity of targets beside the ready tasks that start
 * before it. Stateless.
 */
final class FreeRoom {
    /** Number of tasks that fit a target by a resource of which they request nothing. */
    private static final long TASKS_IF_NOT_REQUESTED = 99;

    private FreeRoom() {}

    /** Returns whether all tasks of a step fit into the free capacity, whatever else is waiting. */
    static boolean fits(StepSpec step, List<TargetState> targets) {
        return tasksThatFit(step, targets) >= step.taskCount();
    }

    /**
     * Returns whether all tasks of a step fit into what the ready tasks of other jobs leave.
     *
     * @param jobsAhead jobs whose waiting tasks start before those of the step
     * @param mayStart returns whether the tasks of a job may start now; others do not compete
     */
    static boolean fitsBeside(
            StepSpec step,
            List<TargetState> targets,
            Collection<JobEntry> jobsAhead,
            Predicate<JobEntry> mayStart,
            long epochMillis) {
        long fitting = tasksThatFit(step, targets);
        if (fitting < step.taskCount()) {
            return false;
        }
        ResourceAmounts demand = ResourceAmounts.NONE;
        for (JobEntry job : jobsAhead) {
            if (mayStart.test(job)) {
                demand = demand.plus(readyDemand(job, epochMillis));
            }
        }
        return fitting - asTasks(demand, step.reservedResources()) >= step.taskCount();
    }

    private static ResourceAmounts readyDemand(JobEntry job, long epochMillis) {
        ResourceAmounts demand = ResourceAmounts.NONE;
        for (StepState step : job.startableSteps(epochMillis)) {
            demand = demand.plus(step.spec().reservedResources().times(step.waitingTasks().size()));
        }
        return demand;
    }

    /** Returns how many tasks of a step use up the same CPU or memory, whichever is more. */
    private static long asTasks(ResourceAmounts demand, ResourceAmounts task) {
        return Math.max(
                ceilDivide(demand.cpuMillicores(), task.cpuMillicores()),
                ceilDivide(demand.memoryMegabytes(), task.memoryMegabytes()));
    }

    private static long ceilDivide(long amount, long each) {
        return each == 0 ? 0 : (amount + each - 1) / each;
    }

    private static long tasksThatFit(StepSpec step, List<TargetState> targets) {
        long sum = 0;
        for (TargetState target : targets) {
            sum += tasksThatFit(step.reservedResources(), target.free());
        }
        return sum;
    }

    /** Returns how many tasks fit by CPU and memory; accelerators do not count. */
    private static long tasksThatFit(ResourceAmounts task, ResourceAmounts free) {
        long byCpu =
                task.cpuMillicores() == 0
                        ? TASKS_IF_NOT_REQUESTED
                        : free.cpuMillicores() / task.cpuMillicores();
        long byMemory =
                task.memoryMegabytes() == 0
                        ? TASKS_IF_NOT_REQUESTED
                        : free.memoryMegabytes() / task.memoryMegabytes();
        return Math.max(0, Math.min(byCpu, byMemory));
    }
}

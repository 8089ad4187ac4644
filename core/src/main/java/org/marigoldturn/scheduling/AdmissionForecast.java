package org.marigoldturn.scheduling;

import java.util.Collection;
import java.util.List;
import org.marigoldturn.jobs.JobSpec;
import org.marigoldturn.jobs.QueueSettings;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.StepSpec;

/**
 * Decides whether to accept a submitted job, by forecasting whether it can meet its objective.
 *
 * <p>The forecast divides the estimated backlog by the processors of the service. It protects
 * against loads that exceed the capacity for a few seconds. Stateless.
 */
final class AdmissionForecast {
    /** Number of tasks that fit a target by a resource of which they request nothing. */
    private static final long TASKS_IF_NOT_REQUESTED = 99;

    private AdmissionForecast() {}

    /**
     * Decides on a submission.
     *
     * @param incoming capacity that is being moved to the service
     * @param backlog work that is served before the job
     * @param jobsAhead jobs whose waiting tasks start before those of the job
     */
    static Admission decide(
            JobSpec spec,
            QueueSettings queue,
            List<TargetState> targets,
            ResourceAmounts incoming,
            BacklogForecast backlog,
            Collection<JobEntry> jobsAhead,
            long epochMillis) {
        if (targets.isEmpty()) {
            return Admission.refuse(1, "no-target", Admission.Forecast.NONE);
        }
        ResourceAmounts capacity = incoming;
        long freeMillicores = 0;
        for (TargetState target : targets) {
            capacity = capacity.plus(target.entry().capacity());
            freeMillicores += Math.max(0, target.free().cpuMillicores());
        }
        long chainMillis = spec.longestChainMillis();
        Admission.Forecast forecast =
                new Admission.Forecast(
                        backlog.waitMillis(capacity.cpuMillicores()),
                        queue.objectiveMillis(chainMillis) - chainMillis,
                        freeMillicores,
                        capacity.cpuMillicores());
        for (StepSpec step : spec.steps()) {
            if (targets.stream()
                    .noneMatch(t -> step.reservedResources().fitsInto(t.entry().capacity()))) {
                return Admission.refuse(
                        Admission.MAX_RETRY_AFTER_SECONDS, "task-too-large", forecast);
            }
        }
        boolean needsForecast = !spec.scheduled() && !spec.isLongRunning();
        boolean mustWait =
                needsForecast && !fitsNow(spec.steps().get(0), targets, jobsAhead, epochMillis);
        return mustWait ? decideByForecast(spec, forecast) : Admission.accept(forecast);
    }

    private static Admission decideByForecast(JobSpec spec, Admission.Forecast forecast) {
        long ownMillis =
                spec.estimatedCoreMillis() * 1_000 / Math.max(1, forecast.capacityMillicores());
        if (forecast.waitMillis() + ownMillis / 2 <= forecast.slackMillis()) {
            return Admission.accept(forecast);
        }
        long excessMillis = forecast.waitMillis() - forecast.slackMillis();
        int seconds =
                (int)
                        Math.max(
                                1,
                                Math.min(Admission.MAX_RETRY_AFTER_SECONDS, excessMillis / 1_000));
        return Admission.refuse(seconds, Admission.OVERLOAD, forecast);
    }

    /**
     * Returns whether all tasks of a step fit into the free capacity and no ready task of a job
     * ahead is waiting for capacity.
     */
    private static boolean fitsNow(
            StepSpec step,
            List<TargetState> targets,
            Collection<JobEntry> jobsAhead,
            long epochMillis) {
        if (jobsAhead.stream().anyMatch(job -> job.hasStartableStep(epochMillis))) {
            return false;
        }
        long sum = 0;
        for (TargetState target : targets) {
            sum += fittingTasks(step.reservedResources(), target.free());
        }
        return sum >= step.taskCount();
    }

    /** Returns how many tasks fit by CPU and memory; accelerators do not count. */
    private static long fittingTasks(ResourceAmounts reservedResources, ResourceAmounts free) {
        long byCpu =
                reservedResources.cpuMillicores() == 0
                        ? TASKS_IF_NOT_REQUESTED
                        : free.cpuMillicores() / reservedResources.cpuMillicores();
        long byMemory =
                reservedResources.memoryMegabytes() == 0
                        ? TASKS_IF_NOT_REQUESTED
                        : free.memoryMegabytes() / reservedResources.memoryMegabytes();
        return Math.max(0, Math.min(byCpu, byMemory));
    }
}

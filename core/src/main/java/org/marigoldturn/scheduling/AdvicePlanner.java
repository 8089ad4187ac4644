package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.marigoldturn.jobs.AdviceSettings;
import org.marigoldturn.jobs.QueueSettings;
import org.marigoldturn.jobs.TaskId;

/**
 * Chooses the next request to the policy service: a step and the targets to ask about.
 *
 * <p>It serves queues whose steps may run on some targets only. The next request is about the first
 * step, in the order in which tasks start, that has waiting tasks but no target with a valid ticket
 * and free capacity for one; it names the targets with the most free CPU. Has no state of its own.
 */
final class AdvicePlanner {
    /**
     * A response about more targets would take longer than the objective of a job allows for each
     * step.
     */
    private static final int MAX_TARGETS_PER_REQUEST = 30;

    /**
     * Several targets are named for each waiting task, since the policy service will forbid some of
     * them.
     */
    private static final int TARGETS_PER_TASK = 3;

    private final JobTable mJobs;
    private final TargetTable mTargets;

    AdvicePlanner(JobTable jobs, TargetTable targets) {
        mJobs = jobs;
        mTargets = targets;
    }

    /** Returns the next request, considering jobs in the order in which their tasks start. */
    Optional<AdviceRequest> next(
            Function<JobEntry, Optional<QueueSettings>> queueOf,
            long nowMillis,
            long dueEpochMillis) {
        for (JobEntry job : mJobs.active()) {
            Optional<QueueSettings> queue = queueOf.apply(job);
            Optional<AdviceSettings> advice = queue.flatMap(QueueSettings::advice);
            if (advice.isEmpty() || !job.isStored()) {
                continue;
            }
            List<TargetState> targets = mTargets.usable(queue.get().service(), nowMillis);
            for (StepState step : job.startableSteps(dueEpochMillis)) {
                Optional<AdviceRequest> request = request(step, advice.get(), targets, nowMillis);
                if (request.isPresent()) {
                    return request;
                }
            }
        }
        return Optional.empty();
    }

    /** Records a response: a ticket by the id of each target that may run the step. */
    void record(AdviceRequest request, Map<String, String> tickets, long requestSentMillis) {
        TaskId first = new TaskId(request.jobId(), request.occurrence(), request.step(), 0);
        StepState step = mJobs.step(first);
        if (step != null) {
            long validUntilMillis = requestSentMillis + request.settings().validMillis();
            step.advice().record(request.targets(), tickets, validUntilMillis);
        }
    }

    /** Discards the ticket of a run after its target rejected the ticket. */
    void reject(Run run) {
        StepState step = mJobs.step(run.task());
        if (step != null) {
            step.advice().reject(run.target());
        }
    }

    /**
     * Returns the request for one step; empty if no task waits, a target with a valid ticket has
     * free capacity, or no target is left to ask about.
     */
    private static Optional<AdviceRequest> request(
            StepState step, AdviceSettings settings, List<TargetState> targets, long nowMillis) {
        int waiting = step.waitingTasks().size();
        if (waiting == 0) {
            return Optional.empty();
        }
        List<TargetState> toAsk = new ArrayList<>();
        for (TargetState target : targets) {
            boolean eligible = Placer.isEligible(step, target);
            if (eligible && step.advice().mustAsk(target, nowMillis)) {
                toAsk.add(target);
            } else if (eligible && canStartNow(step, target, nowMillis)) {
                return Optional.empty();
            }
        }
        if (toAsk.isEmpty()) {
            return Optional.empty();
        }
        toAsk.sort(Comparator.comparingLong(AdvicePlanner::freeCpu).reversed());
        int count =
                Math.min(
                        Math.min(toAsk.size(), MAX_TARGETS_PER_REQUEST),
                        waiting * TARGETS_PER_TASK);
        return Optional.of(
                new AdviceRequest(
                        step.job().job().id(),
                        step.occurrence(),
                        step.number(),
                        toAsk.subList(0, count),
                        settings));
    }

    private static boolean canStartNow(StepState step, TargetState target, long nowMillis) {
        return step.advice().hasTicket(target, nowMillis)
                && step.spec().reservedResources().fitsInto(target.free());
    }

    private static long freeCpu(TargetState target) {
        return target.free().cpuMillicores();
    }
}

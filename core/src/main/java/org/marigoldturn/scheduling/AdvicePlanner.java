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
 * Decides what the policy service is asked, one question at a time.
 *
 * <p>It answers queues on which only some targets may run a step: the first step in the order of
 * the queues whose waiting tasks lack a target with a ticket comes next, and of its targets those
 * with the most room. The baseline asks about every target of the service. Stateless.
 */
final class AdvicePlanner {
    /** A job's objective counts one answer about this many targets for each step. */
    private static final int MOST_TARGETS = 30;

    /** Some of the targets named are refused by the policy. */
    private static final int TARGETS_PER_TASK = 3;

    private final JobTable mJobs;
    private final TargetTable mTargets;

    AdvicePlanner(JobTable jobs, TargetTable targets) {
        mJobs = jobs;
        mTargets = targets;
    }

    /** Returns the next question of all jobs, in the order in which their tasks start. */
    Optional<AdviceQuestion> next(
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
            for (StepState step : job.readySteps(dueEpochMillis)) {
                Optional<AdviceQuestion> question =
                        question(step, advice.get(), targets, nowMillis);
                if (question.isPresent()) {
                    return question;
                }
            }
        }
        return Optional.empty();
    }

    /** Records an answer: a ticket by the id of each target that may run the step. */
    void record(AdviceQuestion question, Map<String, String> tickets, long askedMillis) {
        TaskId first = new TaskId(question.jobId(), question.occurrence(), question.step(), 0);
        StepState step = mJobs.step(first);
        if (step != null) {
            long validUntilMillis = askedMillis + question.settings().validMillis();
            step.advice().record(question.targets(), tickets, validUntilMillis);
        }
    }

    /** Drops the ticket of a run that its target did not take. */
    void reject(Run run) {
        StepState step = mJobs.step(run.task());
        if (step != null) {
            step.advice().reject(run.target());
        }
    }

    /** Returns the targets to ask about for one step; empty if it has enough of them. */
    private static Optional<AdviceQuestion> question(
            StepState step, AdviceSettings settings, List<TargetState> targets, long nowMillis) {
        int waiting = step.waitingTasks().size();
        if (waiting == 0) {
            return Optional.empty();
        }
        List<TargetState> open = new ArrayList<>();
        for (TargetState target : targets) {
            boolean fits = Placer.isPossible(step, target);
            if (fits && step.advice().isOpen(target, nowMillis)) {
                open.add(target);
            } else if (fits && hasRoomNow(step, target, nowMillis)) {
                return Optional.empty();
            }
        }
        if (open.isEmpty()) {
            return Optional.empty();
        }
        open.sort(Comparator.comparingLong(AdvicePlanner::freeCpu).reversed());
        int count = Math.min(Math.min(open.size(), MOST_TARGETS), waiting * TARGETS_PER_TASK);
        return Optional.of(
                new AdviceQuestion(
                        step.job().job().id(),
                        step.occurrence(),
                        step.number(),
                        open.subList(0, count),
                        settings));
    }

    /** Returns the targets whose ticket for a step holds. */
    static List<TargetState> allowed(StepState step, List<TargetState> targets, long nowMillis) {
        return targets.stream()
                .filter(target -> !step.advice().ticket(target, nowMillis).isEmpty())
                .toList();
    }

    private static boolean hasRoomNow(StepState step, TargetState target, long nowMillis) {
        return !step.advice().ticket(target, nowMillis).isEmpty()
                && step.spec().claim().fitsInto(target.free());
    }

    private static long freeCpu(TargetState target) {
        return target.free().cpuMillicores();
    }
}

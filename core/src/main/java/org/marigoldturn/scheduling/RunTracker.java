package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.marigoldturn.jobs.JobState;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.StepSpec;

/**
 * Tracks runs from their start to their end, based on the reports of targets.
 *
 * <p>Invariant: a run of a known task is recorded at its target, at its task and in the usage of
 * its account, or at none of them; a run of an unknown task is recorded at its target only.
 * Confined to the control thread.
 */
final class RunTracker {
    private final JobTable mJobs;
    private final AccountUsage mUsage;
    private final Function<JobEntry, Optional<Integer>> mMaxAttempts;
    private final Set<String> mChanged = new LinkedHashSet<>();
    private final Map<TaskState, Long> mHeldSinceMillis = new HashMap<>();
    private double mFarFactor = 1;

    /**
     * Creates a tracker without runs.
     *
     * @param maxAttempts returns how often a task of a job may fail; empty while the job's queue is
     *     not configured
     */
    RunTracker(
            JobTable jobs, AccountUsage usage, Function<JobEntry, Optional<Integer>> maxAttempts) {
        mJobs = jobs;
        mUsage = usage;
        mMaxAttempts = maxAttempts;
    }

    /**
     * Sets how many times as long a task runs away from its data or its gang; with a factor above
     * 1, learned durations are used.
     */
    void setFarFactor(double farFactor) {
        mFarFactor = farFactor;
        mJobs.durations().setEnabled(farFactor > 1);
    }

    /** Returns and clears the ids of jobs whose durable progress has changed. */
    Set<String> takeChangedJobIds() {
        Set<String> changed = new LinkedHashSet<>(mChanged);
        mChanged.clear();
        return changed;
    }

    /**
     * Applies a target's report.
     *
     * @param pollSentMillis monotonic time at which the poll was sent
     */
    ReportEffects onReport(
            TargetState target,
            TargetReport report,
            long pollSentMillis,
            long nowMillis,
            long epochMillis) {
        List<ReportEffects.ProcessedEnd> ends = new ArrayList<>(report.ends().size());
        for (TargetReport.RunEnd end : report.ends()) {
            if (end.number() > target.lastProcessedEnd()) {
                target.setLastProcessedEnd(end.number());
                EndEffect effect = onEnd(target, end, nowMillis, epochMillis);
                ends.add(new ReportEffects.ProcessedEnd(end, effect));
            }
        }
        Set<Run> listed = new HashSet<>();
        List<Run> kept = new ArrayList<>();
        List<ReportEffects.AdoptedRun> adopted = new ArrayList<>();
        for (TargetReport.RunReport running : report.running()) {
            boolean known = target.find(running.task(), running.run()) != null;
            Run run = onRunning(target, running, nowMillis);
            listed.add(run);
            if (!known) {
                adopted.add(new ReportEffects.AdoptedRun(run, !run.isStopRequested()));
            }
            if (run.isStopWithdrawable() && isNeeded(run)) {
                run.withdrawStop();
                kept.add(run);
            }
        }
        List<Run> unlisted = new ArrayList<>();
        for (Run run : target.runs()) {
            // The end of an unlisted run may be missing from an incomplete report.
            if (!listed.contains(run)
                    && report.complete()
                    && run.mustBeListedByPollSentAt(pollSentMillis)) {
                removeRun(run);
                unlisted.add(run);
            }
        }
        return new ReportEffects(ends, unlisted, kept, adopted);
    }

    private Run onRunning(TargetState target, TargetReport.RunReport report, long nowMillis) {
        Run run = target.find(report.task(), report.run());
        TaskState task = mJobs.task(report.task());
        if (run == null) {
            run = adopt(target, task, report, nowMillis);
        }
        if (task != null) {
            task.setCheckpoint(report.checkpoint());
        }
        run.onListed(report.percent(), nowMillis);
        return run;
    }

    /**
     * Adds a run that was not known here, because an earlier owner started it or its start order
     * was carried out late; requests its stop if it is not needed.
     */
    private Run adopt(
            TargetState target, TaskState task, TargetReport.RunReport report, long nowMillis) {
        JobEntry job = mJobs.job(report.task().jobId());
        StepSpec spec = task == null ? null : job.step(report.task()).spec();
        Run run =
                new Run(
                        report.task(),
                        report.run(),
                        target,
                        spec == null ? ResourceAmounts.NONE : spec.reservedResources(),
                        spec != null && spec.traits().longRunning(),
                        nowMillis);
        run.markStartUnknown();
        boolean needed = task != null && job.isActive() && !task.isDone() && task.runs().isEmpty();
        if (!needed) {
            run.requestStop();
        }
        addRun(run, task, job);
        return run;
    }

    /**
     * Returns whether the task of a run needs it: the task is not done and has no other run. The
     * members of a gang run together or not at all.
     */
    private boolean isNeeded(Run run) {
        JobEntry job = mJobs.job(run.task().jobId());
        TaskState task = mJobs.task(run.task());
        if (task == null || !job.isActive() || task.isDone() || task.runs().size() != 1) {
            return false;
        }
        StepState step = job.step(run.task());
        return !step.spec().traits().gang()
                || step.tasks().stream().allMatch(m -> m == task || isStarted(m, run.number()));
    }

    private static boolean isStarted(TaskState task, long number) {
        return task.runs().size() == 1
                && task.runs().get(0).number() == number
                && !task.runs().get(0).isStopRequested();
    }

    private EndEffect onEnd(
            TargetState target, TargetReport.RunEnd end, long nowMillis, long epochMillis) {
        Run run = target.find(end.task(), end.run());
        if (run != null) {
            removeRun(run);
        }
        target.startPause().onEnd(end.kind(), end.task().jobId(), nowMillis);
        JobEntry job = mJobs.job(end.task().jobId());
        TaskState task = mJobs.task(end.task());
        if (task == null) {
            return EndEffect.IGNORED_UNKNOWN_JOB;
        }
        if (!job.isActive()) {
            return EndEffect.IGNORED_JOB_ENDED;
        }
        task.recordRunNumber(end.run());
        StepState step = job.step(end.task());
        List<TaskState> members = step.spec().traits().gang() ? step.tasks() : List.of(task);
        members.forEach(member -> member.setCheckpoint(end.checkpoint()));
        if (step.spec().traits().longRunning()) {
            return EndEffect.NOT_DONE;
        }
        if (task.isDone()) {
            return EndEffect.IGNORED_TASK_DONE;
        }
        if (end.kind() == EndKind.DONE) {
            if (run != null) {
                recordDuration(run, step, nowMillis);
            }
            members.forEach(TaskState::markDone);
            onTaskDone(job, members, epochMillis);
            return EndEffect.DONE;
        }
        EndEffect effect =
                end.kind().countsAsAttempt()
                        ? onTaskFailed(job, step, task, end.run(), epochMillis)
                        : EndEffect.NOT_DONE;
        if (step.spec().traits().gang()) {
            stopRunsUpTo(end.run(), members);
        }
        return effect;
    }

    private void onTaskDone(JobEntry job, List<TaskState> tasks, long epochMillis) {
        mChanged.add(job.job().id());
        stopRuns(tasks);
        if (job.isDone()) {
            finish(job, JobState.COMPLETED, epochMillis);
        }
    }

    /** Records how long a run took, corrected by the far factor if it ran away from its data. */
    private void recordDuration(Run run, StepState step, long nowMillis) {
        boolean far = isFar(run, step);
        if (run.beganMillis().isEmpty() || far && mFarFactor <= 1) {
            return;
        }
        long durationMillis = nowMillis - run.beganMillis().getAsLong();
        mJobs.durations()
                .record(
                        step.job().job().queue(),
                        step.spec().estimateMillis(),
                        far ? Math.round(durationMillis / mFarFactor) : durationMillis,
                        nowMillis);
    }

    /** Returns whether a run is away from its data, or from other members of its gang. */
    private static boolean isFar(Run run, StepState step) {
        StepSpec.Placement placement = step.spec().placement();
        String rack = run.target().entry().rack();
        if (!placement.preferredRack().isEmpty() && !placement.preferredRack().equals(rack)) {
            return true;
        }
        return placement.sameRack()
                && step.tasks().stream()
                        .flatMap(member -> member.runs().stream())
                        .anyMatch(other -> !other.target().entry().rack().equals(rack));
    }

    private EndEffect onTaskFailed(
            JobEntry job, StepState step, TaskState task, long runNumber, long epochMillis) {
        if (!task.addFailure(runNumber)) {
            // An earlier owner stored this end and was replaced before the target learned that.
            return EndEffect.IGNORED_KNOWN_FAILURE;
        }
        mChanged.add(job.job().id());
        finishIfOutOfAttempts(step, List.of(task), epochMillis);
        return EndEffect.FAILED_ATTEMPT;
    }

    /**
     * Ends a step's job as failed if one of the given tasks, or its gang, has failed as often as
     * the job's queue allows; decides nothing while the queue is not configured, since its limit is
     * unknown.
     *
     * @return whether the job has ended
     */
    boolean finishIfOutOfAttempts(StepState step, List<TaskState> tasks, long epochMillis) {
        Optional<Integer> maxAttempts = mMaxAttempts.apply(step.job());
        if (maxAttempts.isEmpty() || !step.isOutOfAttempts(tasks, maxAttempts.get())) {
            return false;
        }
        finish(step.job(), JobState.FAILED, epochMillis);
        return true;
    }

    void finish(JobEntry job, JobState end, long epochMillis) {
        mJobs.finish(job, end, epochMillis);
        mChanged.add(job.job().id());
        job.runs().forEach(Run::requestStop);
    }

    private static void stopRuns(List<TaskState> tasks) {
        stopRunsUpTo(Long.MAX_VALUE, tasks);
    }

    /** An end that is reported late must not stop a later run of the gang. */
    private static void stopRunsUpTo(long number, List<TaskState> tasks) {
        for (TaskState task : tasks) {
            task.runs().stream().filter(run -> run.number() <= number).forEach(Run::requestStop);
        }
    }

    void addRun(Run run, TaskState task, JobEntry job) {
        run.target().add(run);
        if (task != null) {
            task.runs().add(run);
            task.recordRunNumber(run.number());
            job.markStarted();
            StepState step = job.step(run.task());
            mUsage.add(job.job().account(), run, step.spec().needs());
            expectDuration(run, step);
        }
    }

    private void expectDuration(Run run, StepState step) {
        if (step.spec().traits().longRunning()) {
            return;
        }
        double factor = isFar(run, step) ? mFarFactor : 1;
        String queue = step.job().job().queue();
        long estimateMillis = step.spec().estimateMillis();
        LearnedDurations durations = mJobs.durations();
        run.expect(
                Math.round(factor * durations.expectedMillis(queue, estimateMillis)),
                Math.round(factor * durations.tailMillis(queue, estimateMillis)));
    }

    void removeRun(Run run) {
        run.target().remove(run);
        TaskState task = mJobs.task(run.task());
        if (task != null && task.runs().remove(run)) {
            JobEntry job = mJobs.job(run.task().jobId());
            mUsage.remove(job.job().account(), run, job.step(run.task()).spec().needs());
        }
    }

    /** Moves the runs that an incarnation of a target has never listed to the next one. */
    void moveUnlistedRuns(TargetState earlier, TargetState next, long nowMillis) {
        for (Run run : earlier.runs()) {
            if (run.mayExistAtNextIncarnation()) {
                removeRun(run);
                JobEntry job = mJobs.job(run.task().jobId());
                addRun(run.atNextIncarnation(next, nowMillis), mJobs.task(run.task()), job);
            }
        }
    }

    /** Ends all runs of a target that has ended or whose lease has expired; returns their tasks. */
    List<TaskState> endAllRuns(TargetState target) {
        List<TaskState> tasks = new ArrayList<>();
        for (Run run : target.runs()) {
            removeRun(run);
            TaskState task = mJobs.task(run.task());
            if (task != null) {
                tasks.add(task);
            }
        }
        return tasks;
    }

    /**
     * Holds tasks until it is certain that no other daemon was the owner at the given time, since
     * that one may have recorded the ends of their runs.
     */
    void hold(List<TaskState> tasks, long nowMillis) {
        for (TaskState task : tasks) {
            task.setHeld(true);
            mHeldSinceMillis.put(task, nowMillis);
        }
    }

    boolean hasHeldTasks() {
        return !mHeldSinceMillis.isEmpty();
    }

    /** Releases the tasks that are held since the given time or an earlier one. */
    void releaseHeldTasks(long confirmedMillis) {
        mHeldSinceMillis
                .entrySet()
                .removeIf(
                        held -> {
                            boolean released = held.getValue() <= confirmedMillis;
                            if (released) {
                                held.getKey().setHeld(false);
                            }
                            return released;
                        });
    }
}

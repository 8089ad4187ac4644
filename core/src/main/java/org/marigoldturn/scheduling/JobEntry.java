package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobProgress;
import org.marigoldturn.jobs.JobState;
import org.marigoldturn.jobs.StepSpec;
import org.marigoldturn.jobs.TaskId;

/** State of one accepted job and of all its tasks. Confined to the control thread. */
final class JobEntry {
    private final Job mJob;
    private final long mAcceptedMillis;
    private final boolean mRestored;
    private final List<List<StepState>> mOccurrences = new ArrayList<>();
    private final List<StepState> mAllSteps = new ArrayList<>();
    private LearnedDurations mDurations = new LearnedDurations();
    private int mPriority;
    private boolean mStored;
    private boolean mStarted;
    private JobState mFinalState;
    private long mFinishedEpochMillis;
    private long mExcessUntilMillis = Long.MIN_VALUE;

    /**
     * Creates the entry of a job.
     *
     * @param restored whether it was read from the store, so that an earlier owner may have started
     *     its tasks
     */
    JobEntry(Job job, int priority, long acceptedMillis, boolean restored) {
        mJob = job;
        mPriority = priority;
        mAcceptedMillis = acceptedMillis;
        mRestored = restored;
        mStored = restored;
        for (int k = 0; k < job.spec().occurrences(); k++) {
            List<StepState> steps = new ArrayList<>();
            for (int s = 0; s < job.spec().steps().size(); s++) {
                steps.add(new StepState(this, k, s));
            }
            mOccurrences.add(steps);
            mAllSteps.addAll(steps);
        }
    }

    /** Sets the durations by which work is expected; before, the clients' estimates hold. */
    void setDurations(LearnedDurations durations) {
        mDurations = durations;
    }

    Job job() {
        return mJob;
    }

    int priority() {
        return mPriority;
    }

    /** Changes the priority; only while the job is in no collection that is sorted by it. */
    void setPriority(int priority) {
        mPriority = priority;
    }

    long acceptedMillis() {
        return mAcceptedMillis;
    }

    /**
     * Records that the job exceeds its account's entitlement; until the given monotonic time it
     * starts after jobs that do not.
     */
    void setExcessUntil(long untilMillis) {
        mExcessUntilMillis = untilMillis;
    }

    boolean isExcess(long nowMillis) {
        return nowMillis < mExcessUntilMillis;
    }

    boolean isRestored() {
        return mRestored;
    }

    boolean isStored() {
        return mStored;
    }

    void markStored() {
        mStored = true;
    }

    boolean hasStarted() {
        return mStarted;
    }

    void markStarted() {
        mStarted = true;
    }

    boolean isActive() {
        return mFinalState == null;
    }

    long finishedEpochMillis() {
        return mFinishedEpochMillis;
    }

    JobState state() {
        if (mFinalState != null) {
            return mFinalState;
        }
        return mStarted ? JobState.RUNNING : JobState.QUEUED;
    }

    void finish(JobState end, long epochMillis) {
        mFinalState = end;
        mFinishedEpochMillis = epochMillis;
    }

    TaskState find(TaskId id) {
        if (!isIndex(id.occurrence(), mOccurrences)) {
            return null;
        }
        List<StepState> steps = mOccurrences.get(id.occurrence());
        if (!isIndex(id.step(), steps) || !isIndex(id.index(), steps.get(id.step()).tasks())) {
            return null;
        }
        return steps.get(id.step()).tasks().get(id.index());
    }

    private static boolean isIndex(int index, List<?> list) {
        return index >= 0 && index < list.size();
    }

    /** Returns the step of a task that {@link #find} knows. */
    StepState step(TaskId id) {
        return mOccurrences.get(id.occurrence()).get(id.step());
    }

    /** Returns the steps with a waiting task that are due and whose earlier steps are all done. */
    List<StepState> startableSteps(long epochMillis) {
        List<StepState> startable = new ArrayList<>();
        for (StepState step : mAllSteps) {
            if (isStartable(step, epochMillis)) {
                startable.add(step);
            }
        }
        return startable;
    }

    /** Returns whether {@link #startableSteps} has a step. */
    boolean hasStartableStep(long epochMillis) {
        for (StepState step : mAllSteps) {
            if (isStartable(step, epochMillis)) {
                return true;
            }
        }
        return false;
    }

    private boolean isStartable(StepState step, long epochMillis) {
        return step.hasWaitingTask() && isDueAndReady(step, epochMillis);
    }

    /** Returns whether the due time of a step has come and its earlier steps are all done. */
    boolean isDueAndReady(StepState step, long epochMillis) {
        return mJob.spec().dueEpochMillis(step.occurrence()) <= epochMillis && isReady(step);
    }

    private boolean isReady(StepState step) {
        for (int earlier : step.spec().after()) {
            if (!mOccurrences.get(step.occurrence()).get(earlier).isDone()) {
                return false;
            }
        }
        return true;
    }

    List<StepState> allSteps() {
        return mAllSteps;
    }

    boolean isDone() {
        return mAllSteps.stream().allMatch(StepState::isDone);
    }

    List<Run> runs() {
        List<Run> runs = new ArrayList<>();
        for (StepState step : allSteps()) {
            step.tasks().forEach(task -> runs.addAll(task.runs()));
        }
        return runs;
    }

    /**
     * Returns the expected work of waiting tasks except long-running ones, in thousandths of a
     * core-second.
     */
    long waitingCoreMillis() {
        long sum = 0;
        for (StepState step : allSteps()) {
            if (step.spec().traits().longRunning() || step.isDone()) {
                continue;
            }
            long each = coreMillis(step.spec());
            for (TaskState task : step.tasks()) {
                sum += task.isWaiting() ? each : 0;
            }
        }
        return sum;
    }

    /**
     * Returns the expected work left in tasks with a run except long-running ones, in thousandths
     * of a core-second; half of a running task's work counts as done.
     */
    long runningCoreMillis() {
        long sum = 0;
        for (StepState step : allSteps()) {
            if (step.spec().traits().longRunning() || step.isDone()) {
                continue;
            }
            long each = coreMillis(step.spec());
            for (TaskState task : step.tasks()) {
                sum += task.isDone() || task.runs().isEmpty() ? 0 : each / 2;
            }
        }
        return sum;
    }

    /** Returns the expected work of one task of a step, in thousandths of a core-second. */
    private long coreMillis(StepSpec step) {
        return mDurations.coreMillis(mJob.queue(), step);
    }

    JobProgress progress() {
        List<JobProgress.TaskProgress> tasks = new ArrayList<>();
        for (StepState step : allSteps()) {
            for (TaskState task : step.tasks()) {
                boolean hasProgress =
                        task.isDone()
                                || !task.failedRuns().isEmpty()
                                || !task.checkpoint().isEmpty();
                if (hasProgress && isActive()) {
                    tasks.add(
                            new JobProgress.TaskProgress(
                                    task.id(),
                                    task.isDone(),
                                    task.failedRuns(),
                                    task.checkpoint()));
                }
            }
        }
        JobState state = mFinalState == null ? JobState.RUNNING : mFinalState;
        return new JobProgress(state, mFinishedEpochMillis, tasks);
    }

    void restore(JobProgress progress) {
        if (progress.state().isFinal()) {
            finish(progress.state(), progress.finishedEpochMillis());
            return;
        }
        for (JobProgress.TaskProgress recorded : progress.tasks()) {
            TaskState task = find(recorded.task());
            if (task != null) {
                task.restore(recorded.done(), recorded.failedRuns(), recorded.checkpoint());
                mStarted = true;
            }
        }
    }
}

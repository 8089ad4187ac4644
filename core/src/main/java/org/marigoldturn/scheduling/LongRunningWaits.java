package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marigoldturn.jobs.TaskId;

/**
 * Measures how long the long-running tasks of active jobs have had no run that is known to run.
 *
 * <p>A task waits while its job is active, its step is ready and its time has come. Its wait begins
 * with the acceptance or the restoration of its job, at its due time, or when its last run stops
 * being known to run. Observes the scheduler's state and changes none of it; looks only at jobs
 * with long-running steps. Confined to the control thread.
 */
public final class LongRunningWaits {
    /** Steps that are compared with the targets in one diagnosis; bounds its duration. */
    static final int MAX_STEPS = 100;

    private final JobTable mJobs;
    private final WaitDiagnosis mDiagnosis;
    private final Map<TaskId, Long> mDiagnosedMillis = new HashMap<>();
    private Map<TaskId, Waiting> mWaiting = Map.of();
    private long mObservedMillis = Long.MIN_VALUE;

    private record Waiting(TaskState task, StepState step, long sinceMillis) {}

    LongRunningWaits(JobTable jobs, WaitDiagnosis diagnosis) {
        mJobs = jobs;
        mDiagnosis = diagnosis;
    }

    /**
     * Updates which tasks wait. A wait is measured to within the interval between two calls.
     *
     * @param nowMillis present monotonic time
     * @param epochMillis present time, in milliseconds since 1970
     */
    public void observe(long nowMillis, long epochMillis) {
        Map<TaskId, Waiting> waiting = new HashMap<>();
        mJobs.forEachActiveLongRunning(
                job -> {
                    for (StepState step : job.allSteps()) {
                        if (step.spec().traits().longRunning()
                                && job.isDueAndReady(step, epochMillis)) {
                            observe(step, waiting);
                        }
                    }
                });
        mWaiting = waiting;
        mObservedMillis = nowMillis;
    }

    private void observe(StepState step, Map<TaskId, Waiting> waiting) {
        for (TaskState task : step.tasks()) {
            if (task.isDone() || task.runs().stream().anyMatch(Run::isKnownToRun)) {
                continue;
            }
            Waiting earlier = mWaiting.get(task.id());
            long sinceMillis =
                    earlier == null
                            ? Math.max(step.job().acceptedMillis(), mObservedMillis)
                            : earlier.sinceMillis();
            waiting.put(task.id(), new Waiting(task, step, sinceMillis));
        }
    }

    /** Returns the number of tasks that waited at the last observation. */
    public int count() {
        return mWaiting.size();
    }

    /** Returns the longest wait of these tasks in milliseconds, or 0 if none waits. */
    public long longestMillis(long nowMillis) {
        long longest = 0;
        for (Waiting waiting : mWaiting.values()) {
            longest = Math.max(longest, nowMillis - waiting.sinceMillis());
        }
        return longest;
    }

    /** Returns whether a task waited at the last observation. */
    public boolean isWaiting(TaskId task) {
        return mWaiting.containsKey(task);
    }

    /** Returns whether a run of a task is known to run now. */
    public boolean isRunning(TaskId task) {
        TaskState state = mJobs.task(task);
        return state != null && state.runs().stream().anyMatch(Run::isKnownToRun);
    }

    /**
     * Returns tasks that waited at the last observation for at least the given time, the longest
     * wait first: all of them, or tasks of {@link #MAX_STEPS} steps that take turns.
     *
     * @param mayAct whether this daemon may start tasks at all
     */
    public List<TaskWait> diagnose(long thresholdMillis, boolean mayAct, long nowMillis) {
        mDiagnosedMillis.keySet().retainAll(mWaiting.keySet());
        List<Waiting> candidates = new ArrayList<>();
        for (Waiting waiting : mWaiting.values()) {
            if (nowMillis - waiting.sinceMillis() >= thresholdMillis) {
                candidates.add(waiting);
            }
        }
        candidates.sort(
                Comparator.<Waiting>comparingLong(
                                w -> mDiagnosedMillis.getOrDefault(w.task().id(), Long.MIN_VALUE))
                        .thenComparing(Waiting::sinceMillis));
        List<TaskWait> waits = new ArrayList<>();
        Map<StepState, WaitDiagnosis.Result> ofSteps = new IdentityHashMap<>();
        for (Waiting waiting : candidates) {
            Optional<WaitDiagnosis.Result> result =
                    mDiagnosis
                            .ofTask(waiting.step(), waiting.task(), nowMillis)
                            .or(() -> ofStep(waiting.step(), ofSteps, mayAct, nowMillis));
            TaskId task = waiting.task().id();
            result.ifPresent(
                    r -> {
                        mDiagnosedMillis.put(task, nowMillis);
                        waits.add(
                                new TaskWait(task, waiting.sinceMillis(), r.reason(), r.detail()));
                    });
        }
        waits.sort(
                Comparator.comparingLong(TaskWait::sinceMillis)
                        .thenComparing(wait -> wait.task().name()));
        return waits;
    }

    private Optional<WaitDiagnosis.Result> ofStep(
            StepState step,
            Map<StepState, WaitDiagnosis.Result> ofSteps,
            boolean mayAct,
            long nowMillis) {
        if (ofSteps.size() < MAX_STEPS && !ofSteps.containsKey(step)) {
            ofSteps.put(step, mDiagnosis.ofStep(step, mayAct, nowMillis));
        }
        return Optional.ofNullable(ofSteps.get(step));
    }
}

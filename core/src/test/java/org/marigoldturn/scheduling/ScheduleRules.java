package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobState;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.TaskId;

/** Checks the scheduling rules at simulated targets and collects what breaks them. */
final class ScheduleRules implements SimulatedTarget.Observer {
    private static final int MAX_ATTEMPTS = SchedulerFixture.QUEUE.maxAttempts();

    private final Map<String, SimulatedTarget> mTargets;
    private final Map<String, Job> mJobs;
    private final Predicate<TaskId> mExcluded;
    private final Map<TaskId, List<Long>> mStarts = new HashMap<>();
    private final Map<TaskId, Integer> mRecordedFailures = new HashMap<>();
    private final Set<TaskId> mRecordedDone = new HashSet<>();
    private final Set<TaskId> mListedDone = new HashSet<>();
    private final List<String> mFindings = new ArrayList<>();

    /**
     * Creates a check of one simulation.
     *
     * @param targets view of the targets by id
     * @param jobs view of the submitted jobs by id
     * @param excluded returns whether breaches by a task do not count
     */
    ScheduleRules(
            Map<String, SimulatedTarget> targets,
            Map<String, Job> jobs,
            Predicate<TaskId> excluded) {
        mTargets = targets;
        mJobs = jobs;
        mExcluded = excluded;
    }

    /** Returns a line for each breach of a rule. */
    List<String> findings() {
        return mFindings;
    }

    @Override
    public void onStart(SimulatedTarget target, TaskId task, long run, long nowMillis) {
        for (SimulatedTarget other : mTargets.values()) {
            if (other != target && other.isUp() && other.isRunning(task, nowMillis)) {
                add(task, "TWICE " + task + " at " + target.id() + " and " + other.id());
            }
        }
        if (mRecordedDone.contains(task)) {
            add(task, "TWICE " + task + " started after its recorded end");
        }
        if (mRecordedFailures.getOrDefault(task, 0) >= MAX_ATTEMPTS) {
            add(task, "BUDGET " + task + " started after its last attempt");
        }
        Job job = mJobs.get(task.jobId());
        for (int earlier : job.spec().steps().get(task.step()).after()) {
            for (int i = 0; i < job.spec().steps().get(earlier).taskCount(); i++) {
                if (!isDone(new TaskId(task.jobId(), 0, earlier, i))) {
                    add(task, "ORDER " + task + " before step " + earlier);
                }
            }
        }
        mStarts.computeIfAbsent(task, t -> new ArrayList<>()).add(nowMillis);
    }

    private void add(TaskId task, String finding) {
        if (!mExcluded.test(task)) {
            mFindings.add(finding);
        }
    }

    /**
     * A step may start once the ends of its earlier steps have been listed, even before they are
     * recorded.
     */
    private boolean isDone(TaskId task) {
        return mRecordedDone.contains(task) || mListedDone.contains(task);
    }

    /** Records that a target has listed the end of a task that is done. */
    void onListedDone(TaskId task) {
        mListedDone.add(task);
    }

    @Override
    public void onEndRecorded(SimulatedTarget target, SimulatedTarget.End end, long nowMillis) {
        boolean expired = target.lastExpiryMillis() >= end.atMillis();
        if (end.kind() == EndKind.DONE && !expired) {
            mRecordedDone.add(end.task());
            for (long start : mStarts.getOrDefault(end.task(), List.of())) {
                if (start > end.atMillis()) {
                    add(
                            end.task(),
                            "TWICE "
                                    + end.task()
                                    + " started after an end that was recorded later");
                }
            }
        } else if (end.kind() == EndKind.FAILED) {
            mRecordedFailures.merge(end.task(), 1, Integer::sum);
        }
    }

    /** Checks that a job that is stored as failed has had all attempts of a task. */
    void checkFailedJob(String jobId, JobState state) {
        boolean startedOftenEnough =
                mStarts.entrySet().stream()
                        .filter(entry -> entry.getKey().jobId().equals(jobId))
                        .anyMatch(entry -> entry.getValue().size() >= MAX_ATTEMPTS);
        if (state == JobState.FAILED && !startedOftenEnough) {
            mFindings.add("LOST " + jobId + " failed before its last attempt");
        }
    }

    /** Checks that no target runs more than its capacity. */
    void checkCapacity(long nowMillis) {
        for (SimulatedTarget target : mTargets.values()) {
            ResourceAmounts used = target.isUp() ? target.used(nowMillis) : ResourceAmounts.NONE;
            if (used.cpuMillicores() > SimulatedOwner.TARGET_MILLICORES) {
                mFindings.add("LIMIT " + target.id() + " runs " + used);
            }
        }
    }
}

package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.marigoldturn.jobs.StepSpec;
import org.marigoldturn.jobs.TaskId;

/** State of one step in one occurrence of a job, with its tasks. Confined to the control thread. */
final class StepState {
    /** Scheduling passes that find a waiting task are not further apart than this. */
    private static final long UNPLACED_GAP_MILLIS = 1_000;

    private final JobEntry mJob;
    private final StepSpec mSpec;
    private final int mOccurrence;
    private final int mNumber;
    private final List<TaskState> mTasks = new ArrayList<>();
    private final StepAdvice mAdvice = new StepAdvice();
    private int mDoneTasks;
    private long mUnplacedSinceMillis;
    private long mLastUnplacedMillis = Long.MIN_VALUE / 2;

    StepState(JobEntry job, int occurrence, int number) {
        mJob = job;
        mSpec = job.job().spec().steps().get(number);
        mOccurrence = occurrence;
        mNumber = number;
        for (int i = 0; i < mSpec.taskCount(); i++) {
            TaskId id = new TaskId(job.job().id(), occurrence, number, i);
            mTasks.add(new TaskState(id, () -> mDoneTasks++));
        }
    }

    JobEntry job() {
        return mJob;
    }

    StepSpec spec() {
        return mSpec;
    }

    int occurrence() {
        return mOccurrence;
    }

    int number() {
        return mNumber;
    }

    List<TaskState> tasks() {
        return mTasks;
    }

    StepAdvice advice() {
        return mAdvice;
    }

    boolean isDone() {
        return mDoneTasks == mTasks.size();
    }

    boolean hasWaitingTask() {
        if (isDone()) {
            return false;
        }
        for (TaskState task : mTasks) {
            if (task.isWaiting()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the tasks that are not done, not held and have no run. */
    List<TaskState> waitingTasks() {
        List<TaskState> waiting = new ArrayList<>();
        for (TaskState task : mTasks) {
            if (task.isWaiting()) {
                waiting.add(task);
            }
        }
        return waiting;
    }

    /** Returns whether the members of a gang can start together: all of them are waiting. */
    boolean isGangIdle() {
        return mTasks.stream().allMatch(TaskState::isWaiting);
    }

    /** Returns since when a waiting task has fitted into no usable target; now if it did before. */
    long unplacedSinceMillis(long nowMillis) {
        if (nowMillis - mLastUnplacedMillis > UNPLACED_GAP_MILLIS) {
            mUnplacedSinceMillis = nowMillis;
        }
        mLastUnplacedMillis = nowMillis;
        return mUnplacedSinceMillis;
    }

    /** Counts the tasks that have no available run now. */
    int countUnavailable() {
        int unavailable = 0;
        for (TaskState task : mTasks) {
            if (task.runs().stream().noneMatch(Run::isAvailable)) {
                unavailable++;
            }
        }
        return unavailable;
    }

    /**
     * Returns whether one of the given tasks, or the gang that they belong to, has failed as often
     * as allowed.
     */
    boolean isOutOfAttempts(List<TaskState> tasks, int maxAttempts) {
        return mSpec.traits().gang()
                ? countFailedRunsOfGang() >= maxAttempts
                : tasks.stream().anyMatch(task -> task.failedRuns().size() >= maxAttempts);
    }

    /**
     * The members of a gang share the number of a run, so it fails once however many of them do.
     */
    private int countFailedRunsOfGang() {
        Set<Long> numbers = new HashSet<>();
        mTasks.forEach(member -> numbers.addAll(member.failedRuns()));
        return numbers.size();
    }
}

package org.marigoldturn.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.marigoldturn.jobs.Job;
import org.marigoldturn.jobs.JobState;
import org.marigoldturn.jobs.StepSpec;
import org.marigoldturn.jobs.TaskId;

/**
 * Holds all accepted jobs until they are forgotten, and the active ones, which have not ended, in
 * the order in which their tasks start. Confined to the control thread.
 */
final class JobTable {
    /**
     * Jobs with long-running tasks come first, since these serve users; then the operator's
     * priorities and the order of acceptance decide.
     */
    private static final Comparator<JobEntry> ORDER =
            Comparator.<JobEntry, Boolean>comparing(e -> !e.job().spec().isLongRunning())
                    .thenComparing(JobEntry::priority)
                    .thenComparing(JobEntry::acceptedMillis)
                    .thenComparing(e -> e.job().id());

    private final Map<String, JobEntry> mJobs = new HashMap<>();
    private final TreeSet<JobEntry> mActive = new TreeSet<>(ORDER);
    private final LearnedDurations mDurations = new LearnedDurations();

    /** Returns the durations of tasks, as learned from the runs of all jobs. */
    LearnedDurations durations() {
        return mDurations;
    }

    void add(JobEntry entry) {
        entry.setDurations(mDurations);
        mJobs.put(entry.job().id(), entry);
        if (entry.isActive()) {
            mActive.add(entry);
        }
    }

    /**
     * Returns the expected work of one occurrence of a job that need not be in the table, in
     * thousandths of a core-second.
     */
    long expectedCoreMillis(Job job) {
        long sum = 0;
        for (StepSpec step : job.spec().steps()) {
            sum += step.taskCount() * mDurations.coreMillis(job.queue(), step);
        }
        return sum;
    }

    /**
     * Changes the priorities of active jobs.
     *
     * @param priorityOf returns a job's priority; empty if it stays as it is
     */
    void updatePriorities(Function<Job, Optional<Integer>> priorityOf) {
        for (JobEntry entry : List.copyOf(mActive)) {
            int priority = priorityOf.apply(entry.job()).orElse(entry.priority());
            if (priority != entry.priority()) {
                mActive.remove(entry);
                entry.setPriority(priority);
                mActive.add(entry);
            }
        }
    }

    /** Ends a job. */
    void finish(JobEntry entry, JobState end, long epochMillis) {
        entry.finish(end, epochMillis);
        mActive.remove(entry);
    }

    /** Forgets jobs that ended before the given wall-clock time and returns their ids. */
    List<String> forgetEndedBefore(long epochMillis) {
        List<String> forgotten = new ArrayList<>();
        mJobs.values()
                .removeIf(
                        entry -> {
                            boolean old =
                                    !entry.isActive() && entry.finishedEpochMillis() < epochMillis;
                            if (old) {
                                forgotten.add(entry.job().id());
                            }
                            return old;
                        });
        return forgotten;
    }

    /** Returns the jobs that have not ended, in the order in which their tasks start. */
    Collection<JobEntry> active() {
        return Collections.unmodifiableCollection(mActive);
    }

    /** Passes the active jobs with long-running steps. */
    void forEachActiveLongRunning(Consumer<JobEntry> action) {
        // They come first.
        for (JobEntry entry : mActive) {
            if (!entry.job().spec().isLongRunning()) {
                return;
            }
            action.accept(entry);
        }
    }

    /**
     * Returns the active jobs that match a filter and whose priority is at least as urgent as the
     * given one (0 is the most urgent).
     */
    List<JobEntry> activeAtLeastAsUrgentAs(int priority, Predicate<JobEntry> filter) {
        return mActive.stream()
                .filter(entry -> entry.priority() <= priority && filter.test(entry))
                .toList();
    }

    /** Counts the active jobs of a queue of which no task has started. */
    int countWaiting(String queue) {
        return (int)
                mActive.stream()
                        .filter(entry -> entry.job().queue().equals(queue) && !entry.hasStarted())
                        .count();
    }

    /** Returns a job, or null. */
    JobEntry job(String id) {
        return mJobs.get(id);
    }

    /** Returns a task, or null if no such job or task is known. */
    TaskState task(TaskId id) {
        JobEntry job = mJobs.get(id.jobId());
        return job == null ? null : job.find(id);
    }

    /** Returns the step of a task, or null if no such task is known. */
    StepState step(TaskId id) {
        return task(id) == null ? null : mJobs.get(id.jobId()).step(id);
    }
}

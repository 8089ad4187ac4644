package org.marigoldturn.jobs;

import java.util.List;

/**
 * Specification of a job, as submitted by a client. Immutable.
 *
 * @param payload text that is passed to each task
 * @param steps the steps; each comes after the steps that it waits for
 * @param occurrences number of times that the steps run
 * @param scheduled whether the occurrences have a due time
 * @param firstDueEpochMillis due time of occurrence 0, in milliseconds since 1970
 * @param intervalMillis time between the due times of two occurrences
 */
public record JobSpec(
        String payload,
        List<StepSpec> steps,
        int occurrences,
        boolean scheduled,
        long firstDueEpochMillis,
        long intervalMillis) {
    /** Maximum size of a payload; the platform specifies it. */
    public static final int MAX_PAYLOAD_BYTES = 4_000;

    /**
     * Maximum number of tasks of a job; bounds the memory that one submission takes at the owner.
     */
    public static final int MAX_TASKS = 20_000;

    public JobSpec {
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("the job has no steps; at least one is required");
        }
        if (occurrences < 1) {
            throw new IllegalArgumentException(
                    "the job has " + occurrences + " occurrences; at least 1 is required");
        }
        long tasks = 0;
        for (int i = 0; i < steps.size(); i++) {
            tasks += steps.get(i).taskCount();
            for (int earlier : steps.get(i).after()) {
                if (earlier < 0 || earlier >= i) {
                    throw new IllegalArgumentException(
                            "step "
                                    + i
                                    + " waits for step "
                                    + earlier
                                    + "; a step can wait only for earlier steps");
                }
            }
        }
        if (tasks > MAX_TASKS / occurrences) {
            throw new IllegalArgumentException(
                    "the job has "
                            + tasks
                            + " tasks in each of "
                            + occurrences
                            + " occurrences; at most "
                            + MAX_TASKS
                            + " tasks are allowed in all");
        }
    }

    /** Returns the due time of an occurrence, or 0 if it has none and may start at once. */
    public long dueEpochMillis(int occurrence) {
        return scheduled ? firstDueEpochMillis + occurrence * intervalMillis : 0;
    }

    /** Returns whether some step runs until the job is cancelled. */
    public boolean isLongRunning() {
        return steps.stream().anyMatch(step -> step.traits().longRunning());
    }

    /** Returns the estimated duration of the longest chain of steps that wait for each other. */
    public long longestChainMillis() {
        long[] endMillis = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < endMillis.length; i++) {
            long startMillis = 0;
            for (int earlier : steps.get(i).after()) {
                startMillis = Math.max(startMillis, endMillis[earlier]);
            }
            endMillis[i] = startMillis + steps.get(i).estimateMillis();
            longest = Math.max(longest, endMillis[i]);
        }
        return longest;
    }

    /** Returns the estimated work of one occurrence in thousandths of a core-second. */
    public long estimatedCoreMillis() {
        return steps.stream()
                .mapToLong(
                        step ->
                                step.taskCount()
                                        * step.reservedResources().cpuMillicores()
                                        * step.estimateMillis()
                                        / 1_000)
                .sum();
    }
}

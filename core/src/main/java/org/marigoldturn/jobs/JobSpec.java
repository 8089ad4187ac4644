package org.marigoldturn.jobs;

import java.util.List;

/**
 * What a client handed in. Immutable.
 *
 * @param payload text that is passed to each task
 * @param steps the steps, in an order in which each follows those it waits for
 * @param occurrences how often the steps run
 * @param scheduled whether the occurrences have a due time
 * @param firstDueEpochMillis due time of occurrence 0, from 1970
 * @param intervalMillis time between the due times of two occurrences
 */
public record JobSpec(
        String payload,
        List<StepSpec> steps,
        int occurrences,
        boolean scheduled,
        long firstDueEpochMillis,
        long intervalMillis) {
    /** Bytes of a payload at most, as the platform states. */
    public static final int MAX_PAYLOAD_BYTES = 4_000;

    /** Tasks of one job at most; bounds what one body can make the owner keep. */
    public static final int MAX_TASKS = 20_000;

    public JobSpec {
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("a job has no steps");
        }
        if (occurrences < 1) {
            throw new IllegalArgumentException("a job runs " + occurrences + " times");
        }
        long tasks = 0;
        for (int i = 0; i < steps.size(); i++) {
            tasks += steps.get(i).taskCount();
            for (int earlier : steps.get(i).after()) {
                if (earlier < 0 || earlier >= i) {
                    throw new IllegalArgumentException(
                            "step " + i + " waits for step " + earlier + ", which is not earlier");
                }
            }
        }
        if (tasks * occurrences > MAX_TASKS) {
            throw new IllegalArgumentException(
                    "a job has " + tasks * occurrences + " tasks, more than " + MAX_TASKS);
        }
    }

    /** Returns the due time of an occurrence, or 0 if it is due at once. */
    public long dueEpochMillis(int occurrence) {
        return scheduled ? firstDueEpochMillis + occurrence * intervalMillis : 0;
    }

    /** Returns whether some step runs until the job is cancelled. */
    public boolean isLongRunning() {
        return steps.stream().anyMatch(step -> step.traits().longRunning());
    }

    /** Returns the estimated time of the longest chain of steps. */
    public long longestChainMillis() {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < ends.length; i++) {
            long begin = 0;
            for (int earlier : steps.get(i).after()) {
                begin = Math.max(begin, ends[earlier]);
            }
            ends[i] = begin + steps.get(i).estimateMillis();
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }

    /** Returns the estimated work of one occurrence in thousandths of a core-second. */
    public long estimatedCoreMillis() {
        return steps.stream()
                .mapToLong(
                        step ->
                                step.taskCount()
                                        * step.claim().cpuMillicores()
                                        * step.estimateMillis()
                                        / 1_000)
                .sum();
    }
}

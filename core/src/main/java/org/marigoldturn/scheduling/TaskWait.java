package org.marigoldturn.scheduling;

import org.marigoldturn.jobs.TaskId;

/**
 * A long-running task that waits, and why. Immutable.
 *
 * @param sinceMillis monotonic time since which no run of the task is known to run
 * @param detail what the reason refers to, as {@code name=value} separated by spaces; may be empty
 */
public record TaskWait(TaskId task, long sinceMillis, WaitReason reason, String detail) {}

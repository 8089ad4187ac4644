package org.marigoldturn.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells in one decision which jobs may have runs on targets that this owner has not read, so that
 * their tasks must not count as waiting. Confined to the control thread.
 *
 * @see TargetTable#isPartial
 */
final class UnreadRunsCheck {
    private final TargetTable mTargets;
    private final QueueServiceTracker mQueueServices;
    private final long mNowMillis;
    private final Map<String, Boolean> mUnreadRuns = new HashMap<>();

    UnreadRunsCheck(TargetTable targets, QueueServiceTracker queueServices, long nowMillis) {
        mTargets = targets;
        mQueueServices = queueServices;
        mNowMillis = nowMillis;
    }

    boolean mayHaveUnreadRuns(JobEntry job) {
        return job.isRestored()
                && mUnreadRuns.computeIfAbsent(job.job().queue(), this::mayHaveUnreadRuns);
    }

    private boolean mayHaveUnreadRuns(String queue) {
        return mQueueServices.services(queue).stream()
                .anyMatch(service -> mTargets.isPartial(service, mNowMillis));
    }
}

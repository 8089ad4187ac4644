package org.marigoldturn.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells in one scheduling pass of which queues the restored jobs may start: those for which no
 * unknown run of an earlier owner can exist on a target of any service to which the queue has been
 * sent. Checks the targets of a service once, however many jobs were restored. Confined to the
 * control thread.
 */
final class RestoredJobsCheck {
    private final TargetTable mTargets;
    private final QueueServiceTracker mQueueServices;
    private final boolean mHeld;
    private final long mNowMillis;
    private final Map<String, Boolean> mMayStart = new HashMap<>();
    private final Map<String, Boolean> mKnowsAllRuns = new HashMap<>();

    /**
     * Creates the check of one pass.
     *
     * @param heldUntilMillis monotonic time until which no restored job starts
     */
    RestoredJobsCheck(
            TargetTable targets,
            QueueServiceTracker queueServices,
            long heldUntilMillis,
            long nowMillis) {
        mTargets = targets;
        mQueueServices = queueServices;
        mHeld = nowMillis < heldUntilMillis;
        mNowMillis = nowMillis;
    }

    boolean mayStart(String queue) {
        return !mHeld
                && mMayStart.computeIfAbsent(
                        queue,
                        name ->
                                mQueueServices.services(name).stream()
                                        .allMatch(this::knowsAllRuns));
    }

    private boolean knowsAllRuns(String service) {
        return mKnowsAllRuns.computeIfAbsent(service, s -> mTargets.knowsAllRuns(s, mNowMillis));
    }
}

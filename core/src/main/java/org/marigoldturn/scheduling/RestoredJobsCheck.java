package org.marigoldturn.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells in one scheduling pass of which services the restored jobs may start: those on whose
 * targets no unknown run of an earlier owner can exist. Checks the targets of a service once,
 * however many jobs were restored. Confined to the control thread.
 */
final class RestoredJobsCheck {
    private final TargetTable mTargets;
    private final boolean mHeld;
    private final long mNowMillis;
    private final Map<String, Boolean> mMayStart = new HashMap<>();

    /**
     * Creates the check of one pass.
     *
     * @param heldUntilMillis monotonic time until which no restored job starts
     */
    RestoredJobsCheck(TargetTable targets, long heldUntilMillis, long nowMillis) {
        mTargets = targets;
        mHeld = nowMillis < heldUntilMillis;
        mNowMillis = nowMillis;
    }

    boolean mayStart(String service) {
        return !mHeld
                && mMayStart.computeIfAbsent(service, s -> mTargets.knowsAllRuns(s, mNowMillis));
    }
}

package org.marigoldturn.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marigoldturn.jobs.ResourceAmounts;

/**
 * Holds back free capacity of targets for waiting tasks that fit nowhere yet, so that smaller tasks
 * do not use it. Each scheduling pass decides anew what is held back.
 *
 * <p>Invariants: a target's capacity is held back for one task at most, and only if the task fits
 * once the target's short runs have ended. For a short task it is held back for at most {@link
 * #LONGEST_MILLIS} in succession, since runs may take longer than their estimates; the next pass
 * leaves it to all tasks. Confined to the control thread.
 */
final class HeldBackCapacity {
    /** Bounds the time for which tasks that fit wait for a larger one that does not fit. */
    static final long LONGEST_MILLIS = 2_000;

    private final Map<TargetState, Long> mSinceMillis = new HashMap<>();
    private final Set<TargetState> mInThisPass = new HashSet<>();
    private final Map<TargetState, StepState> mHolders = new HashMap<>();
    private final Map<TargetState, StepState> mLastHolders = new HashMap<>();

    /** Returns whether capacity of a target may be held back for one task of a step. */
    boolean isAllowed(StepState step, TargetState target, long nowMillis) {
        long heldMillis = nowMillis - mSinceMillis.getOrDefault(target, nowMillis);
        return !mInThisPass.contains(target)
                && step.spec().reservedResources().fitsInto(target.freeAfterShortRuns())
                && (step.spec().traits().longRunning() || heldMillis < LONGEST_MILLIS);
    }

    /** Holds back capacity for one task of a step until the end of the pass. */
    void add(StepState step, TargetState target, long nowMillis) {
        mInThisPass.add(target);
        mSinceMillis.putIfAbsent(target, nowMillis);
        mHolders.put(target, step);
        target.holdBack(step.spec().reservedResources());
    }

    /** Returns for which step the last pass held back capacity of a target; empty if for none. */
    Optional<StepState> lastHolder(TargetState target) {
        return Optional.ofNullable(mLastHolders.get(target));
    }

    /** Ends the pass. */
    void release() {
        mInThisPass.forEach(target -> target.holdBack(ResourceAmounts.NONE));
        mSinceMillis.keySet().retainAll(mInThisPass);
        mInThisPass.clear();
        mLastHolders.clear();
        mLastHolders.putAll(mHolders);
        mHolders.clear();
    }
}

package org.marigoldturn.coordination;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.marigoldturn.scheduling.TargetState;

/**
 * Tells since when most of the recorded targets have responded to this owner.
 *
 * <p>A newer owner reads the same records, and any two majorities of them have a target in common.
 * Invariant: only targets whose records are certainly stored count as having responded, while all
 * records that may be stored count for the majority. Confined to the control thread.
 *
 * @see TargetLeases
 */
final class TargetMajority {
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    /** The result is computed anew after this time; it is asked for with each grant of a lease. */
    private static final long REFRESH_MILLIS = 50;

    private final Supplier<Collection<TargetState>> mTargets;
    private final IntSupplier mRecordCount;
    private final Map<TargetState, Long> mRespondedMillis = new HashMap<>();
    private long mComputedMillis = NEVER_MILLIS;
    private long mSinceMillis = NEVER_MILLIS;

    /**
     * Creates the majority of one owner's targets, none of which has responded.
     *
     * @param targets returns the known targets
     * @param recordCount returns how many records of targets the store may hold
     */
    TargetMajority(Supplier<Collection<TargetState>> targets, IntSupplier recordCount) {
        mTargets = targets;
        mRecordCount = recordCount;
    }

    /**
     * Records a response of a target.
     *
     * @param pollSentMillis monotonic time at which the poll was sent
     */
    void onResponse(TargetState target, long pollSentMillis) {
        mRespondedMillis.merge(target, pollSentMillis, Math::max);
    }

    /**
     * Returns the latest monotonic time such that most recorded targets have responded to polls
     * that were sent since, or an earlier one; a time in the far past if they have not.
     */
    long respondedSinceMillis(long nowMillis) {
        if (nowMillis - mComputedMillis >= REFRESH_MILLIS) {
            mComputedMillis = nowMillis;
            mSinceMillis = compute();
        }
        return mSinceMillis;
    }

    private long compute() {
        Set<TargetState> targets = new HashSet<>(mTargets.get());
        mRespondedMillis.keySet().retainAll(targets);
        long[] responded =
                targets.stream()
                        .filter(TargetState::isRecorded)
                        .mapToLong(t -> mRespondedMillis.getOrDefault(t, NEVER_MILLIS))
                        .toArray();
        int needed = mRecordCount.getAsInt() / 2 + 1;
        if (responded.length < needed) {
            return NEVER_MILLIS;
        }
        Arrays.sort(responded);
        return responded[responded.length - needed];
    }
}

package org.marigoldturn.coordination;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.marigoldturn.scheduling.TargetState;

/**
 * Tells by when the leases of earlier owners have ended, once most of the targets that they have
 * recorded respond to this owner's term.
 *
 * <p>An earlier owner that is cut off from the store grants leases only while most of the targets
 * respond to it that are recorded as far as it knows: those whose records have its term or an
 * earlier one. Records that a later owner has deleted are of targets that have responded to that
 * one or have ended. Confined to the control thread.
 *
 * @see TargetLeases
 */
final class EarlierTargetLeases {
    private final TakeoverTimes mTimes;
    private final long mLeaseMillis;
    private final long mElectedMillis;
    private final long mBeforeLastEndMillis;
    private final int mUnreadableCount;
    private final List<RecordedTarget> mRecorded;
    private Known mKnown = Known.TOO_FEW;

    /**
     * A target with a readable record.
     *
     * @param term term of the owner that wrote the record; 0 if it is not known
     */
    record RecordedTarget(TargetState target, long term) {}

    /** Which targets respond to no earlier owner. */
    private enum Known {
        TOO_FEW,
        MOST_OF_LAST_OWNER,
        MOST_OF_EACH_OWNER
    }

    /**
     * Creates the check of one takeover.
     *
     * @param electedMillis monotonic time at which this owner learnt of its takeover
     * @param beforeLastEndMillis monotonic time by which the leases of owners before the last one
     *     have ended, whatever targets respond
     * @param recordCount number of records of targets in the store, including unreadable ones
     * @param recorded the targets that were restored from them
     */
    EarlierTargetLeases(
            TakeoverTimes times,
            long leaseMillis,
            long electedMillis,
            long beforeLastEndMillis,
            int recordCount,
            List<RecordedTarget> recorded) {
        mTimes = times;
        mLeaseMillis = leaseMillis;
        mElectedMillis = electedMillis;
        mBeforeLastEndMillis = beforeLastEndMillis;
        mUnreadableCount = recordCount - recorded.size();
        mRecorded = List.copyOf(recorded);
    }

    /**
     * Returns the monotonic time by which all leases of earlier owners have ended, at each call at
     * which more is known of it; empty otherwise.
     *
     * @param hasEnded returns whether a target is known to have ended
     */
    OptionalLong endMillis(Predicate<TargetState> hasEnded, long nowMillis) {
        Known known = mKnown == Known.MOST_OF_EACH_OWNER ? mKnown : known(hasEnded);
        if (known.compareTo(mKnown) <= 0) {
            return OptionalLong.empty();
        }
        mKnown = known;
        long beforeLastEndMillis =
                known == Known.MOST_OF_EACH_OWNER
                        ? Math.min(
                                mBeforeLastEndMillis,
                                TargetLeases.beforeLastConfirmedEndMillis(
                                        mTimes, mLeaseMillis, mElectedMillis))
                        : mBeforeLastEndMillis;
        return OptionalLong.of(
                Math.max(
                        beforeLastEndMillis,
                        TargetLeases.lastOwnersEndMillis(
                                mTimes, mLeaseMillis, mElectedMillis, nowMillis)));
    }

    private Known known(Predicate<TargetState> hasEnded) {
        if (!respondsMostUpTo(Long.MAX_VALUE, hasEnded)) {
            return Known.TOO_FEW;
        }
        boolean ofEach =
                mRecorded.stream()
                        .mapToLong(RecordedTarget::term)
                        .distinct()
                        .allMatch(term -> respondsMostUpTo(term, hasEnded));
        return ofEach ? Known.MOST_OF_EACH_OWNER : Known.MOST_OF_LAST_OWNER;
    }

    /** Returns whether most targets with records up to a term respond to no earlier owner. */
    private boolean respondsMostUpTo(long term, Predicate<TargetState> hasEnded) {
        int count = mUnreadableCount;
        int responded = 0;
        for (RecordedTarget recorded : mRecorded) {
            if (recorded.term() <= term) {
                TargetState target = recorded.target();
                count++;
                responded += target.hasReported() || hasEnded.test(target) ? 1 : 0;
            }
        }
        return responded > count / 2;
    }
}

package org.marigoldturn.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One member set that an owner of request ids has adopted, and the times since which the records of
 * earlier owners are complete. Guarded by the lock of {@link RequestClaims}.
 */
final class OwnershipPeriod {
    /** Value of a bound while the records are complete for no id time. */
    static final long NEVER_MILLIS = Long.MAX_VALUE;

    private final long mGeneration;
    private final Set<String> mMemberIds;
    private final Map<String, Long> mCompleteSinceByOwner = new HashMap<>();
    private final Optional<Set<String>> mPreviousMemberIds;
    private long mTakeoverMillis = NEVER_MILLIS;

    /**
     * Creates a period whose set is not accepted yet.
     *
     * @param previousMemberIds member set of the previous generation, if this daemon adopted it
     */
    OwnershipPeriod(
            long generation, Set<String> memberIds, Optional<Set<String>> previousMemberIds) {
        mGeneration = generation;
        mMemberIds = memberIds;
        mPreviousMemberIds = previousMemberIds;
    }

    long generation() {
        return mGeneration;
    }

    Set<String> memberIds() {
        return mMemberIds;
    }

    /** Returns the members of the previous generation, if they are known. */
    Optional<Set<String>> previousMemberIds() {
        return mPreviousMemberIds;
    }

    /** Returns whether the previous generation is known and contained the daemon. */
    boolean hadPrevious(String daemonId) {
        return mPreviousMemberIds.filter(members -> members.contains(daemonId)).isPresent();
    }

    boolean isAccepted() {
        return mTakeoverMillis != NEVER_MILLIS;
    }

    void accept(long acceptedAtMillis) {
        mTakeoverMillis = acceptedAtMillis + RequestClaims.TAKEOVER_MARGIN_MILLIS;
    }

    /** Returns the earliest id time that no earlier owner can have granted. */
    long takeoverMillis() {
        return mTakeoverMillis;
    }

    /** Adds the bound of an earlier owner; the lowest of several bounds applies. */
    void addHandover(String earlierOwner, long completeSinceMillis) {
        mCompleteSinceByOwner.merge(earlierOwner, completeSinceMillis, Math::min);
    }

    /** Returns the earliest id time for which the records of an earlier owner are complete. */
    long completeSinceMillis(String earlierOwner) {
        return Math.min(
                mTakeoverMillis, mCompleteSinceByOwner.getOrDefault(earlierOwner, NEVER_MILLIS));
    }
}

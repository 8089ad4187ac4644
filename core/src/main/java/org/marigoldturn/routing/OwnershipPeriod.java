package org.marigoldturn.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One member set as an owner of request ids adopted it, and what it knows about the records of the
 * owners before it. Belongs to {@link RequestClaims}, whose lock guards it.
 */
final class OwnershipPeriod {
    /** Bound of records that are complete for no id. */
    static final long NEVER_MILLIS = Long.MAX_VALUE;

    private final long mGeneration;
    private final Set<String> mMemberIds;
    private final Map<String, Long> mCompleteSinceByOwner = new HashMap<>();
    private final Optional<Set<String>> mPreviousMemberIds;
    private long mTakeoverMillis = NEVER_MILLIS;

    /**
     * Creates a period whose set is not accepted yet.
     *
     * @param previousMemberIds set of the generation before, if this daemon adopted it
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

    /** Returns the members of the generation before, if they are known. */
    Optional<Set<String>> previousMemberIds() {
        return mPreviousMemberIds;
    }

    /** Returns whether the generation before is known and had the daemon. */
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

    /** Adds the bound of an earlier owner; of several valid ones the lowest counts. */
    void addHandover(String earlierOwner, long completeSinceMillis) {
        mCompleteSinceByOwner.merge(earlierOwner, completeSinceMillis, Math::min);
    }

    /** Returns the earliest id time for which the records of an earlier owner are complete. */
    long completeSinceMillis(String earlierOwner) {
        return Math.min(
                mTakeoverMillis, mCompleteSinceByOwner.getOrDefault(earlierOwner, NEVER_MILLIS));
    }
}

package org.marigoldturn.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marigoldturn.hashing.RendezvousHash;

/**
 * The table in which one daemon keeps the request ids that it granted as their owner.
 *
 * <p>Invariant: an id is granted only if no owner can have granted it before, and not released
 * since. The table therefore keeps the accepted member sets of the retention period: for each id it
 * finds when this daemon became the owner, and grants only ids that are later than that, or ids
 * whose earlier owner handed over its records. Thread safe; the present time is an argument.
 */
public final class RequestClaims {
    /** An owner grants ids that are at least this much later than its takeover. */
    public static final long TAKEOVER_MARGIN_MILLIS = 2 * RequestId.REQUEST_ID_CLOCK_SKEW_MILLIS;

    /** Claimant of ids that another owner granted; it never equals a daemon id. */
    private static final String EARLIER_OWNER = "";

    /** A member set, and the bounds received from owners that it removed. */
    private record Period(
            Set<String> memberIds, long sinceMillis, Map<String, Long> completeSinceByOwner) {
        long takeoverMillis() {
            return sinceMillis + TAKEOVER_MARGIN_MILLIS;
        }

        long completeSinceMillis(String earlierOwner) {
            return completeSinceByOwner.getOrDefault(earlierOwner, takeoverMillis());
        }
    }

    private final String mDaemonId;
    private final Map<RequestId, String> mClaimants = new HashMap<>();
    private final List<Period> mPeriods = new ArrayList<>();

    /** Records of owners that are still members of the accepted set. */
    private final Map<String, ClaimHandoverData> mEarlyHandovers = new HashMap<>();

    private boolean mLeaving;
    private long mNextCleanupMillis;

    /** Creates an empty table that grants nothing until a member set is accepted. */
    public RequestClaims(String daemonId) {
        mDaemonId = daemonId;
    }

    /** Returns the owner of an id among the members. */
    public static Optional<String> owner(RequestId id, Collection<String> memberIds) {
        return RendezvousHash.owner(id.toString(), memberIds);
    }

    /**
     * Adopts a member set after its version was accepted (no daemon serves an older version).
     *
     * @param acceptedAtMillis wall clock time at which the acceptance was known
     */
    public synchronized void onMembersAccepted(
            Collection<String> memberIds, long acceptedAtMillis) {
        Set<String> members = Set.copyOf(memberIds);
        if (!mPeriods.isEmpty() && newest().memberIds().equals(members)) {
            return;
        }
        Period period = new Period(members, acceptedAtMillis, new HashMap<>());
        mEarlyHandovers.forEach((owner, handover) -> apply(period, owner, handover));
        mEarlyHandovers.keySet().retainAll(members);
        mPeriods.add(period);
        dropOldPeriods(acceptedAtMillis);
    }

    /** Decides a claim by a daemon. */
    public synchronized ClaimResult claim(RequestId id, String claimant, long nowMillis) {
        cleanUp(nowMillis);
        if (mLeaving || mPeriods.isEmpty() || !isOwned(id)) {
            return ClaimResult.NOT_OWNER;
        }
        if (mClaimants.containsKey(id)) {
            return ClaimResult.DUPLICATE;
        }
        boolean forgotten = id.timeMillis() < nowMillis - RequestId.CLAIM_RETENTION_MILLIS;
        if (forgotten || id.timeMillis() < completeSinceMillis(id)) {
            return ClaimResult.UNKNOWN;
        }
        mClaimants.put(id, claimant);
        return ClaimResult.GRANTED;
    }

    /** Forgets an id that was granted to the claimant and certainly not run. */
    public synchronized void release(RequestId id, String claimant) {
        if (!mLeaving) {
            mClaimants.remove(id, claimant);
        }
    }

    /**
     * Stops granting for good, because this daemon leaves, and returns the records by new owner.
     * May be called again for another next member set.
     */
    public synchronized Map<String, ClaimHandoverData> handOver(
            Collection<String> nextMemberIds, long nowMillis) {
        Set<String> next = Set.copyOf(nextMemberIds);
        if (next.contains(mDaemonId)) {
            throw new IllegalArgumentException(
                    "daemon " + mDaemonId + " is a member of the next set " + next);
        }
        cleanUp(nowMillis);
        mLeaving = true;
        Map<String, Set<RequestId>> idsByOwner = new HashMap<>();
        next.forEach(member -> idsByOwner.put(member, new HashSet<>()));
        for (RequestId id : mClaimants.keySet()) {
            owner(id, next).ifPresent(owner -> idsByOwner.get(owner).add(id));
        }
        long completeSince = completeSinceForAllMillis();
        Map<String, ClaimHandoverData> handovers = new HashMap<>();
        idsByOwner.forEach(
                (owner, ids) ->
                        handovers.put(owner, new ClaimHandoverData(ids, completeSince, next)));
        return handovers;
    }

    /** Adds the records of an owner that leaves, before or after the set without it is accepted. */
    public synchronized void receive(String earlierOwner, ClaimHandoverData handover) {
        for (RequestId id : handover.ids()) {
            mClaimants.putIfAbsent(id, EARLIER_OWNER);
        }
        if (mPeriods.isEmpty() || newest().memberIds().contains(earlierOwner)) {
            mEarlyHandovers.put(earlierOwner, handover);
            return;
        }
        for (int i = mPeriods.size() - 1; i > 0; i--) {
            if (mPeriods.get(i - 1).memberIds().contains(earlierOwner)) {
                apply(mPeriods.get(i), earlierOwner, handover);
                return;
            }
        }
    }

    /** Returns the number of ids in the table. */
    public synchronized int size() {
        return mClaimants.size();
    }

    private static void apply(Period period, String owner, ClaimHandoverData handover) {
        if (period.memberIds().equals(handover.nextMemberIds())) {
            period.completeSinceByOwner().put(owner, handover.completeSinceMillis());
        }
    }

    private Period newest() {
        return mPeriods.get(mPeriods.size() - 1);
    }

    private boolean isOwned(RequestId id) {
        return owner(id, newest().memberIds()).equals(Optional.of(mDaemonId));
    }

    /** Returns the earliest id time for which the records of the id's range are complete. */
    private long completeSinceMillis(RequestId id) {
        long bound = mPeriods.get(0).takeoverMillis();
        for (int i = 1; i < mPeriods.size(); i++) {
            Optional<String> earlier = owner(id, mPeriods.get(i - 1).memberIds());
            if (!earlier.equals(Optional.of(mDaemonId))) {
                Period period = mPeriods.get(i);
                bound = earlier.map(period::completeSinceMillis).orElse(period.takeoverMillis());
            }
        }
        return bound;
    }

    /**
     * Returns a bound for all ids of this daemon. Only the removal of a member gives ids to one
     * that was a member before.
     */
    private long completeSinceForAllMillis() {
        if (mPeriods.isEmpty()) {
            return Long.MAX_VALUE;
        }
        long bound = mPeriods.get(0).takeoverMillis();
        for (int i = 1; i < mPeriods.size(); i++) {
            Period period = mPeriods.get(i);
            Set<String> earlier = mPeriods.get(i - 1).memberIds();
            if (!earlier.contains(mDaemonId)) {
                bound = Math.max(bound, period.takeoverMillis());
            }
            for (String member : earlier) {
                if (!period.memberIds().contains(member)) {
                    bound = Math.max(bound, period.completeSinceMillis(member));
                }
            }
        }
        return bound;
    }

    /** Removes periods that ended so long ago that they exclude no id that may be claimed. */
    private void dropOldPeriods(long nowMillis) {
        long horizon = nowMillis - RequestId.CLAIM_RETENTION_MILLIS - TAKEOVER_MARGIN_MILLIS;
        while (mPeriods.size() > 1 && mPeriods.get(1).sinceMillis() < horizon) {
            mPeriods.remove(0);
        }
    }

    private void cleanUp(long nowMillis) {
        if (nowMillis < mNextCleanupMillis) {
            return;
        }
        mNextCleanupMillis = nowMillis + RequestId.REQUEST_ID_CLOCK_SKEW_MILLIS;
        // An id is forgotten only when claim() answers UNKNOWN for its time.
        long oldest = nowMillis - RequestId.CLAIM_RETENTION_MILLIS;
        mClaimants.keySet().removeIf(id -> id.timeMillis() < oldest);
    }
}

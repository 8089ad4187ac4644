package org.marigoldturn.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.IntStream;
import org.marigoldturn.hashing.RendezvousHash;

/**
 * The table in which one daemon keeps the request ids that it granted as their owner.
 *
 * <p>Invariant: an id is granted only if no owner can have granted it before, and not released
 * since. The table therefore keeps the adopted member sets of the retention period. For each id it
 * finds when this daemon became the owner, and grants only ids that are later than the acceptance
 * of that set, or ids whose earlier owner has stopped granting them and handed over its records. An
 * owner stops granting the ids of a joining member when it adopts the set with that member, and
 * those of all others when it leaves. Thread safe; the present time is an argument.
 */
public final class RequestClaims {
    /** An owner grants ids that are at least this much later than its takeover. */
    public static final long TAKEOVER_MARGIN_MILLIS = 2 * RequestId.REQUEST_ID_CLOCK_SKEW_MILLIS;

    /** Claimant of ids that another owner granted; it never equals a daemon id. */
    private static final String EARLIER_OWNER = "";

    private record Sender(String daemonId, boolean leaves) {}

    private final String mDaemonId;
    private final Map<RequestId, String> mClaimants = new HashMap<>();
    private final List<OwnershipPeriod> mPeriods = new ArrayList<>();

    /** Bounds that belong to a member set which this daemon has not adopted. */
    private final Map<Sender, ClaimHandoverData> mEarlyHandovers = new HashMap<>();

    /** Members that joined, by the generation that added them, until they have the records. */
    private final Map<String, Long> mJoiners = new HashMap<>();

    private boolean mLeaving;
    private long mNextCleanupMillis;
    private long mForgottenBeforeMillis;

    /** Creates an empty table that grants nothing until a member set is accepted. */
    public RequestClaims(String daemonId) {
        mDaemonId = daemonId;
    }

    /** Returns the owner of an id among the members. */
    public static Optional<String> owner(RequestId id, Collection<String> memberIds) {
        return RendezvousHash.owner(id.toString(), memberIds);
    }

    /**
     * Adopts a member set and stops granting the ids that move away. To be called before other
     * daemons can know that this one holds the set.
     *
     * @param generation generation of the set; one that is not newer has no effect
     */
    public synchronized void onMembersAdopted(long generation, Collection<String> memberIds) {
        if (!mPeriods.isEmpty() && newest().generation() >= generation) {
            return;
        }
        Set<String> members = Set.copyOf(memberIds);
        Optional<Set<String>> previous = membersBefore(generation);
        if (previous.filter(p -> p.contains(mDaemonId)).isPresent()) {
            Set<String> joined = new HashSet<>(members);
            joined.removeAll(previous.get());
            joined.forEach(member -> mJoiners.put(member, generation));
        }
        mJoiners.keySet().retainAll(members);
        mPeriods.add(new OwnershipPeriod(generation, members, previous));
        applyEarlyHandovers();
    }

    /**
     * Notes that no daemon serves an older member set any more.
     *
     * @param acceptedAtMillis wall clock time at which the acceptance was known
     */
    public synchronized void onMembersAccepted(long generation, long acceptedAtMillis) {
        for (OwnershipPeriod period : mPeriods) {
            if (period.generation() <= generation && !period.isAccepted()) {
                period.accept(acceptedAtMillis);
            }
        }
        dropOldPeriods(acceptedAtMillis);
    }

    /** Decides a claim by a daemon that holds no newer member set than this one. */
    public synchronized ClaimResult claim(RequestId id, String claimant, long nowMillis) {
        cleanUp(nowMillis);
        if (mLeaving || mPeriods.isEmpty() || !isOwner(id, newest().memberIds())) {
            return ClaimResult.NOT_OWNER;
        }
        if (mClaimants.containsKey(id)) {
            return ClaimResult.DUPLICATE;
        }
        long completeSinceMillis = completeSinceMillis(id);
        if (completeSinceMillis == OwnershipPeriod.NEVER_MILLIS) {
            // Neither the acceptance nor a handover has arrived; the claim can be repeated.
            return ClaimResult.NOT_OWNER;
        }
        boolean forgotten =
                id.timeMillis()
                        < Math.max(
                                mForgottenBeforeMillis,
                                nowMillis - RequestId.CLAIM_RETENTION_MILLIS);
        if (forgotten || id.timeMillis() < completeSinceMillis) {
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
     * May be called again after the adoption of another set.
     */
    public synchronized Map<String, ClaimHandoverData> handOverAll(long nowMillis) {
        cleanUp(nowMillis);
        mLeaving = true;
        Map<String, ClaimHandoverData> handovers = new HashMap<>();
        if (mPeriods.isEmpty() || !newest().memberIds().contains(mDaemonId)) {
            return handovers;
        }
        Set<String> next = new HashSet<>(newest().memberIds());
        next.remove(mDaemonId);
        long completeSince = completeSinceForAllMillis(newest().generation());
        for (String member : next) {
            handovers.put(
                    member, new ClaimHandoverData(idsOwnedBy(member, next), completeSince, next));
        }
        return handovers;
    }

    /** Returns whether a member that joined has not confirmed the records of its ids yet. */
    public synchronized boolean hasJoiners() {
        return !mJoiners.isEmpty();
    }

    /**
     * Returns the records for members that joined and have not confirmed them yet. To be sent again
     * until {@link #onHandedOver}; each is complete by itself, so that late and repeated ones are
     * harmless. A member is absent while the set before it is not accepted.
     *
     * @param excluded members that need no records now
     */
    public synchronized Map<String, ClaimHandoverData> joinHandovers(
            long nowMillis, Set<String> excluded) {
        cleanUp(nowMillis);
        Map<String, ClaimHandoverData> handovers = new HashMap<>();
        mJoiners.forEach(
                (joiner, generation) -> {
                    long completeSince = completeSinceForAllMillis(generation - 1);
                    if (!excluded.contains(joiner)
                            && completeSince != OwnershipPeriod.NEVER_MILLIS) {
                        Set<String> members = period(generation).orElseThrow().memberIds();
                        handovers.put(
                                joiner,
                                new ClaimHandoverData(
                                        idsOwnedBy(joiner, members), completeSince, members));
                    }
                });
        return handovers;
    }

    /** Notes that a joined member has the records. */
    public synchronized void onHandedOver(String joiner) {
        mJoiners.remove(joiner);
    }

    /** Adds the records of an earlier owner, before or after their member set is adopted. */
    public synchronized void receive(String earlierOwner, ClaimHandoverData handover) {
        for (RequestId id : handover.ids()) {
            mClaimants.putIfAbsent(id, EARLIER_OWNER);
        }
        boolean leaves = !handover.nextMemberIds().contains(earlierOwner);
        mEarlyHandovers.put(
                new Sender(earlierOwner, leaves),
                new ClaimHandoverData(
                        Set.of(), handover.completeSinceMillis(), handover.nextMemberIds()));
        applyEarlyHandovers();
    }

    /** Returns the number of ids in the table. */
    public synchronized int size() {
        return mClaimants.size();
    }

    private void applyEarlyHandovers() {
        Iterator<Map.Entry<Sender, ClaimHandoverData>> handovers =
                mEarlyHandovers.entrySet().iterator();
        while (handovers.hasNext()) {
            Map.Entry<Sender, ClaimHandoverData> entry = handovers.next();
            Sender sender = entry.getKey();
            OptionalInt index =
                    sender.leaves() ? leaveIndex(sender.daemonId()) : joinIndex(mPeriods.size());
            if (index.isPresent()) {
                apply(index.getAsInt(), sender, entry.getValue());
                handovers.remove();
            }
        }
    }

    private void apply(int index, Sender sender, ClaimHandoverData handover) {
        OwnershipPeriod period = mPeriods.get(index);
        if (period.memberIds().equals(handover.nextMemberIds())
                && (!sender.leaves() || isFirstWithPreviousMembers(index))) {
            period.addHandover(sender.daemonId(), handover.completeSinceMillis());
        }
    }

    /** Returns the period whose set no longer has the daemon. */
    private OptionalInt leaveIndex(String daemonId) {
        return IntStream.range(0, mPeriods.size())
                .filter(i -> !mPeriods.get(i).memberIds().contains(daemonId))
                .filter(i -> mPeriods.get(i).hadPrevious(daemonId))
                .findFirst();
    }

    /** Returns the newest period before the given index whose set added this daemon. */
    private OptionalInt joinIndex(int beforeIndex) {
        return IntStream.range(0, beforeIndex)
                .filter(i -> mPeriods.get(i).memberIds().contains(mDaemonId))
                .filter(i -> mPeriods.get(i).previousMemberIds().isPresent())
                .filter(i -> !mPeriods.get(i).hadPrevious(mDaemonId))
                .reduce((first, second) -> second);
    }

    /**
     * Returns whether no earlier set had the same members as the one before the given period. A
     * handover does not say to which of several equal sets it belongs, and a member that was added
     * and removed between them may have granted ids.
     */
    private boolean isFirstWithPreviousMembers(int index) {
        Set<String> members = mPeriods.get(index).previousMemberIds().orElseThrow();
        for (int i = index - 1; i >= joinIndex(index).orElse(0); i--) {
            Optional<Set<String>> earlier = mPeriods.get(i).previousMemberIds();
            if (earlier.isEmpty() || earlier.get().equals(members)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the members of the generation before, if this daemon adopted it. */
    private Optional<Set<String>> membersBefore(long generation) {
        if (generation == 1) {
            return Optional.of(Set.of());
        }
        return mPeriods.isEmpty() || newest().generation() + 1 != generation
                ? Optional.empty()
                : Optional.of(newest().memberIds());
    }

    private Optional<OwnershipPeriod> period(long generation) {
        return mPeriods.stream().filter(p -> p.generation() == generation).findFirst();
    }

    private OwnershipPeriod newest() {
        return mPeriods.get(mPeriods.size() - 1);
    }

    private boolean isOwner(RequestId id, Collection<String> memberIds) {
        return owner(id, memberIds).equals(Optional.of(mDaemonId));
    }

    private Set<RequestId> idsOwnedBy(String member, Set<String> memberIds) {
        Set<RequestId> ids = new HashSet<>();
        for (RequestId id : mClaimants.keySet()) {
            if (owner(id, memberIds).equals(Optional.of(member))) {
                ids.add(id);
            }
        }
        return ids;
    }

    /** Returns the earliest id time for which the records of the id's range are complete. */
    private long completeSinceMillis(RequestId id) {
        for (int i = mPeriods.size() - 1; i >= 0; i--) {
            OwnershipPeriod period = mPeriods.get(i);
            Optional<String> earlier = period.previousMemberIds().flatMap(m -> owner(id, m));
            if (earlier.isEmpty()) {
                return period.takeoverMillis();
            }
            if (!earlier.get().equals(mDaemonId)) {
                return period.completeSinceMillis(earlier.get());
            }
        }
        // The periods before were dropped, so this one began before the oldest id that counts.
        return mPeriods.get(0).takeoverMillis();
    }

    /** Returns a bound for all ids of this daemon in the set of the given generation. */
    private long completeSinceForAllMillis(long generation) {
        long bound = OwnershipPeriod.NEVER_MILLIS;
        for (OwnershipPeriod period : mPeriods) {
            if (period.generation() > generation) {
                break;
            }
            bound = completeSinceForAllMillis(period, bound);
        }
        return Math.max(bound, mForgottenBeforeMillis);
    }

    private long completeSinceForAllMillis(OwnershipPeriod period, long earlierBound) {
        Set<String> previous = period.previousMemberIds().orElse(Set.of());
        if (previous.isEmpty()) {
            return period.takeoverMillis();
        }
        boolean joined = !previous.contains(mDaemonId);
        long bound = 0;
        if (!joined) {
            bound = period == mPeriods.get(0) ? period.takeoverMillis() : earlierBound;
        }
        for (String member : previous) {
            // Only the removal of a member gives ids to one that was a member before.
            if (joined || !period.memberIds().contains(member)) {
                bound = Math.max(bound, period.completeSinceMillis(member));
            }
        }
        return bound;
    }

    /** Removes periods that ended so long ago that they exclude no id that may be claimed. */
    private void dropOldPeriods(long nowMillis) {
        long horizon = nowMillis - RequestId.CLAIM_RETENTION_MILLIS;
        while (mPeriods.size() > 1 && mPeriods.get(1).takeoverMillis() < horizon) {
            mPeriods.remove(0);
        }
        // Whoever joined so long ago needs no records.
        mJoiners.values().removeIf(generation -> generation <= mPeriods.get(0).generation());
    }

    private void cleanUp(long nowMillis) {
        if (nowMillis < mNextCleanupMillis) {
            return;
        }
        mNextCleanupMillis = nowMillis + RequestId.REQUEST_ID_CLOCK_SKEW_MILLIS;
        // An id is forgotten only when claim() answers UNKNOWN for its time. A clock that is set
        // back, and a next owner with a slower clock, must not take it for a new one.
        mForgottenBeforeMillis = nowMillis - RequestId.CLAIM_RETENTION_MILLIS;
        mClaimants.keySet().removeIf(id -> id.timeMillis() < mForgottenBeforeMillis);
    }
}

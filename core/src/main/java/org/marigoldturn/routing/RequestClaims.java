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
 * Table of the request ids that this daemon, as their owner, has granted to claimants.
 *
 * <p>The owner of an id is one of the members, found by rendezvous hashing; each new member set
 * therefore changes the owner of some ids. Invariant: an id is granted only if no owner can have
 * granted it before without a release since.
 *
 * <p>The table keeps the member sets that were adopted in the retention period. For each id it
 * finds the set by which this daemon became the owner. It grants the id only if the time in the id
 * is later than the acceptance of that set, or if the earlier owner has stopped granting the id and
 * handed over its records. An owner stops granting the ids of a joining member when it adopts the
 * set with that member, and all ids when it leaves. Thread safe; methods take the present time as
 * an argument.
 */
public final class RequestClaims {
    /**
     * Without records of the earlier owner, an owner grants only ids that are at least this much
     * later than the acceptance of the member set.
     */
    public static final long TAKEOVER_MARGIN_MILLIS = 2 * RequestId.REQUEST_ID_CLOCK_SKEW_MILLIS;

    /** Stands for the unknown claimant of an id that another owner granted; no valid daemon id. */
    private static final String UNKNOWN_CLAIMANT = "";

    private record Sender(String daemonId, boolean leaves) {}

    private final String mDaemonId;
    private final Map<RequestId, String> mClaimants = new HashMap<>();
    private final List<OwnershipPeriod> mPeriods = new ArrayList<>();

    /** Bounds from handovers for member sets that this daemon has not adopted yet. */
    private final Map<Sender, ClaimHandoverData> mHandoversNotApplied = new HashMap<>();

    /** Generation that added each member that joined and has not confirmed its records yet. */
    private final Map<String, Long> mJoinGenerations = new HashMap<>();

    private boolean mLeaving;
    private long mNextCleanupMillis;
    private long mForgottenBeforeMillis;

    /** Creates an empty table; it grants no id before a member set is accepted. */
    public RequestClaims(String daemonId) {
        mDaemonId = daemonId;
    }

    /** Returns the owner of an id among the members. */
    public static Optional<String> owner(RequestId id, Collection<String> memberIds) {
        return RendezvousHash.owner(id.toString(), memberIds);
    }

    /**
     * Adopts a member set and stops granting the ids of other owners. To be called before other
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
            joined.forEach(member -> mJoinGenerations.put(member, generation));
        }
        mJoinGenerations.keySet().retainAll(members);
        mPeriods.add(new OwnershipPeriod(generation, members, previous));
        applyHandovers();
    }

    /**
     * Records that a member set is accepted: no daemon serves an older one any more.
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
            // Neither the acceptance nor a handover has arrived yet; the claimant can retry.
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

    /** Forgets an id that was granted to the claimant and whose request certainly did not run. */
    public synchronized void release(RequestId id, String claimant) {
        if (!mLeaving) {
            mClaimants.remove(id, claimant);
        }
    }

    /**
     * Permanently stops granting, because this daemon leaves, and returns the records by new owner.
     * May be called again after another set is adopted.
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

    /** Returns whether some member that joined has not confirmed the records of its ids yet. */
    public synchronized boolean hasUnconfirmedJoins() {
        return !mJoinGenerations.isEmpty();
    }

    /**
     * Returns the records for members that joined and have not confirmed them yet. To be sent again
     * until {@link #onHandedOver}; each message is complete by itself, so that late and repeated
     * ones do no harm. A member is absent while the member set before its join is not accepted.
     *
     * @param excluded members that need no records now
     */
    public synchronized Map<String, ClaimHandoverData> joinHandovers(
            long nowMillis, Set<String> excluded) {
        cleanUp(nowMillis);
        Map<String, ClaimHandoverData> handovers = new HashMap<>();
        mJoinGenerations.forEach(
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

    /** Records that a member that joined has confirmed its records. */
    public synchronized void onHandedOver(String joiner) {
        mJoinGenerations.remove(joiner);
    }

    /** Adds the records of an earlier owner; may be called before their member set is adopted. */
    public synchronized void receive(String earlierOwner, ClaimHandoverData handover) {
        for (RequestId id : handover.ids()) {
            mClaimants.putIfAbsent(id, UNKNOWN_CLAIMANT);
        }
        boolean leaves = !handover.nextMemberIds().contains(earlierOwner);
        mHandoversNotApplied.put(
                new Sender(earlierOwner, leaves),
                new ClaimHandoverData(
                        Set.of(), handover.completeSinceMillis(), handover.nextMemberIds()));
        applyHandovers();
    }

    /** Returns the number of ids in the table. */
    public synchronized int size() {
        return mClaimants.size();
    }

    private void applyHandovers() {
        Iterator<Map.Entry<Sender, ClaimHandoverData>> handovers =
                mHandoversNotApplied.entrySet().iterator();
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

    /** Returns the index of the first period whose set no longer contains the daemon. */
    private OptionalInt leaveIndex(String daemonId) {
        return IntStream.range(0, mPeriods.size())
                .filter(i -> !mPeriods.get(i).memberIds().contains(daemonId))
                .filter(i -> mPeriods.get(i).hadPrevious(daemonId))
                .findFirst();
    }

    /**
     * Returns the index of the newest period, before the given one, whose set added this daemon.
     */
    private OptionalInt joinIndex(int beforeIndex) {
        return IntStream.range(0, beforeIndex)
                .filter(i -> mPeriods.get(i).memberIds().contains(mDaemonId))
                .filter(i -> mPeriods.get(i).previousMemberIds().isPresent())
                .filter(i -> !mPeriods.get(i).hadPrevious(mDaemonId))
                .reduce((first, second) -> second);
    }

    /**
     * Returns whether no earlier set had the same members as the one before the given period. A
     * handover does not tell to which of several equal sets it belongs, and a member that was added
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

    /** Returns the members of the previous generation, if this daemon adopted it. */
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

    /**
     * Returns the id time since which this daemon has all records for ids with the same owners in
     * all kept member sets.
     */
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
        // Earlier periods were dropped, so this one began before the oldest id that may be claimed.
        return mPeriods.get(0).takeoverMillis();
    }

    /**
     * Returns the id time since which the records of all ids owned in a generation are complete.
     */
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
            // A daemon that stays a member gets ids only from members that are removed.
            if (joined || !period.memberIds().contains(member)) {
                bound = Math.max(bound, period.completeSinceMillis(member));
            }
        }
        return bound;
    }

    /** Removes periods that are too old to affect any id that may still be claimed. */
    private void dropOldPeriods(long nowMillis) {
        long horizon = nowMillis - RequestId.CLAIM_RETENTION_MILLIS;
        while (mPeriods.size() > 1 && mPeriods.get(1).takeoverMillis() < horizon) {
            mPeriods.remove(0);
        }
        // A member that joined before the retention period needs no records.
        mJoinGenerations
                .values()
                .removeIf(generation -> generation <= mPeriods.get(0).generation());
    }

    private void cleanUp(long nowMillis) {
        if (nowMillis < mNextCleanupMillis) {
            return;
        }
        mNextCleanupMillis = nowMillis + RequestId.REQUEST_ID_CLOCK_SKEW_MILLIS;
        // An id is forgotten only if claim() returns UNKNOWN for its time. The bound is kept, so
        // that the id is not granted again if this clock is set back or a next owner's is slower.
        mForgottenBeforeMillis = nowMillis - RequestId.CLAIM_RETENTION_MILLIS;
        mClaimants.keySet().removeIf(id -> id.timeMillis() < mForgottenBeforeMillis);
    }
}

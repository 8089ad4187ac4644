package org.marigoldturn.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.marigoldturn.hashing.RendezvousHash;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.MemberSet;

/**
 * Decides when this daemon commits a change of the member set: its own join and leave, and the
 * removal of a member that has ended.
 *
 * <p>Each change concerns one member and is based on a version that a majority of its members is
 * known to hold, so that majorities of consecutive sets intersect. A daemon joins once; after its
 * removal its rights belong to others, so its process must end. Confined to the control thread.
 */
public final class MembershipPlanner {
    /**
     * Members that replied to a ping sent within this time are expected to remove an ended member.
     */
    private static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * Time after which any member removes the ended one, since the member that is to act first may
     * lack the evidence.
     */
    private static final long FALLBACK_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Member mSelf;
    private final PeerVersions mPeerVersions;
    private final EndedMembers mEnded;
    private boolean mJoined;
    private boolean mLeaving;

    /** Creates a planner for a daemon that has not joined. */
    public MembershipPlanner(Member self, PeerVersions peerVersions, EndedMembers ended) {
        mSelf = self;
        mPeerVersions = peerVersions;
        mEnded = ended;
    }

    /**
     * Makes the daemon leave; it must have stopped starting work and have transferred its rights.
     */
    public void requestLeave() {
        mLeaving = true;
    }

    /** Returns the change that this daemon should commit on the held version now, if any. */
    public Optional<MemberSetChange> plan(long version, MemberSet members, long nowNanos) {
        boolean member = members.find(mSelf.id()).isPresent();
        mJoined |= member;
        if (!majorityHolds(version, members)) {
            return Optional.empty();
        }
        if (mLeaving) {
            return member
                    ? Optional.of(remove(version, members, mSelf.id(), "leave of " + mSelf.id()))
                    : Optional.empty();
        }
        if (!mJoined) {
            return Optional.of(join(version, members));
        }
        return member ? planRemoval(version, members, nowNanos) : Optional.empty();
    }

    /** Returns whether this daemon was a member and no longer is. */
    public boolean wasRemoved(MemberSet members) {
        return mJoined && members.find(mSelf.id()).isEmpty();
    }

    /**
     * Returns whether a majority of the members is known to hold the version or has ended by
     * conclusive evidence.
     */
    public boolean majorityHolds(long version, MemberSet members) {
        long holders =
                members.members().stream().filter(m -> holdsOrEnded(m.id(), version)).count();
        return members.members().isEmpty() || holders >= members.majority();
    }

    private boolean holdsOrEnded(String memberId, long version) {
        return memberId.equals(mSelf.id())
                || mPeerVersions.holds(memberId, version)
                || mEnded.isConclusive(memberId);
    }

    private Optional<MemberSetChange> planRemoval(long version, MemberSet members, long nowNanos) {
        return members.members().stream()
                .map(Member::id)
                .filter(id -> !id.equals(mSelf.id()))
                .filter(id -> isEnded(id, members))
                .filter(id -> isFirstRemover(id, members, nowNanos))
                .findFirst()
                .map(id -> remove(version, members, id, removalReason(id)));
    }

    /**
     * Refused connections count only when a majority has replied to pings sent after them, which
     * shows that this daemon's own network works.
     */
    private boolean isEnded(String memberId, MemberSet members) {
        if (mEnded.isConclusive(memberId)) {
            return true;
        }
        return mEnded.sinceNanos(memberId)
                .map(since -> mPeerVersions.repliedSince(members, mSelf.id(), since))
                .filter(responding -> responding.size() + 1 >= members.majority())
                .isPresent();
    }

    /**
     * Returns whether this daemon should remove the ended member now. All members see the evidence
     * at about the same time; a hash of the ended id chooses the responding member that acts first,
     * so that not all of them commit.
     */
    private boolean isFirstRemover(String endedId, MemberSet members, long nowNanos) {
        long sinceNanos = mEnded.sinceNanos(endedId).orElse(nowNanos);
        if (nowNanos - sinceNanos >= FALLBACK_NANOS) {
            return true;
        }
        List<String> responding =
                new ArrayList<>(
                        mPeerVersions.repliedSince(members, mSelf.id(), nowNanos - RECENT_NANOS));
        responding.remove(endedId);
        responding.add(mSelf.id());
        return RendezvousHash.owner(endedId, responding).filter(mSelf.id()::equals).isPresent();
    }

    private MemberSetChange join(long version, MemberSet members) {
        List<Member> next = new ArrayList<>(members.members());
        next.add(mSelf);
        return new MemberSetChange(version, new MemberSet(next), "join of " + mSelf.id());
    }

    private String removalReason(String memberId) {
        return "removal of " + memberId + " (evidence " + mEnded.evidence(memberId).get() + ")";
    }

    private static MemberSetChange remove(
            long version, MemberSet members, String memberId, String reason) {
        List<Member> next =
                members.members().stream().filter(m -> !m.id().equals(memberId)).toList();
        return new MemberSetChange(version, new MemberSet(next), reason);
    }
}

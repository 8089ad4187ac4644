package org.marigoldturn.daemon;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.marigoldturn.membership.AcceptanceTracker;
import org.marigoldturn.membership.ConfirmationTracker;
import org.marigoldturn.membership.EndEvidence;
import org.marigoldturn.membership.EndedMembers;
import org.marigoldturn.membership.MemberSetChange;
import org.marigoldturn.membership.MembershipPlanner;
import org.marigoldturn.membership.PeerVersions;
import org.marigoldturn.rights.EndedDaemons;
import org.marigoldturn.routing.RequestClaims;
import org.marigoldturn.settings.ChangeResult;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.MemberSet;
import org.marigoldturn.settings.RightsDivision;
import org.marigoldturn.settings.SettingsRepository;
import org.marigoldturn.settings.SystemState;
import org.marigoldturn.settings.VersionedState;
import org.tinylog.Logger;

/**
 * Joins and leaves the member set, removes ended members, and tells the other parts what acceptance
 * implies. Belongs to the control thread.
 */
final class MembershipService {
    /** Longest wait for the acceptance of a member set before it is asked for again. */
    private static final long ACCEPTANCE_TIMEOUT_MILLIS = 60_000;

    private static final long ANSWERING_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Everything this service drives. */
    record Parts(
            Member self,
            PeerVersions versions,
            EndedMembers endedMembers,
            EndedDaemons endedDaemons,
            ConfirmationTracker confirmation,
            AcceptanceTracker acceptance,
            RequestClaims claims,
            StatePublisher publisher,
            SettingsRepository repository,
            ControlLoop control,
            LongSupplier nowMillis,
            LongSupplier nowNanos) {}

    private final Parts mParts;
    private final MembershipPlanner mPlanner;
    private boolean mCommitting;
    private boolean mLeft;

    MembershipService(Parts parts) {
        mParts = parts;
        mPlanner = new MembershipPlanner(parts.self(), parts.versions(), parts.endedMembers());
        parts.publisher().addListener(this::onState);
    }

    /** Commits the next change of the member set, if one is due; called every 500 ms. */
    void tick() {
        long nowNanos = mParts.nowNanos().getAsLong();
        mParts.confirmation().evaluatePeers(nowNanos);
        mParts.acceptance().evaluate(nowNanos);
        VersionedState state = mParts.publisher().state();
        if (!mCommitting) {
            mPlanner.plan(state.version(), state.members(), nowNanos).ifPresent(this::commit);
        }
    }

    void onPong(String memberId, long version, long sentNanos) {
        mParts.endedMembers().onMessage(memberId);
        mParts.versions().onReply(memberId, version, sentNanos);
        long nowNanos = mParts.nowNanos().getAsLong();
        mParts.confirmation().evaluatePeers(nowNanos);
        mParts.acceptance().evaluate(nowNanos);
    }

    void onPing(String memberId, long version) {
        mParts.versions().onReport(memberId, version);
        mParts.acceptance().evaluate(mParts.nowNanos().getAsLong());
    }

    void onEnded(String memberId, EndEvidence evidence) {
        mParts.endedMembers().record(memberId, evidence, mParts.nowNanos().getAsLong());
        long nowMillis = mParts.nowMillis().getAsLong();
        if (evidence == EndEvidence.FAREWELL) {
            mParts.endedDaemons().onFarewell(memberId, nowMillis);
        } else if (evidence.isConclusive()) {
            mParts.endedDaemons().onEnded(memberId, nowMillis);
        }
    }

    /** Returns the members that answer pings, including this daemon if it is a member. */
    Set<String> answering() {
        MemberSet members = mParts.publisher().state().members();
        long sinceNanos = mParts.nowNanos().getAsLong() - ANSWERING_NANOS;
        String selfId = mParts.self().id();
        Set<String> answering =
                new HashSet<>(mParts.versions().repliedSince(members, selfId, sinceNanos));
        if (members.find(selfId).isPresent()) {
            answering.add(selfId);
        }
        return answering;
    }

    /** Lets the next tick commit the leave of this daemon. */
    void requestLeave() {
        mPlanner.requestLeave();
    }

    /** Returns whether this daemon was a member and is none any more. */
    boolean hasLeft() {
        return mLeft;
    }

    private void onState(VersionedState previous, VersionedState state) {
        MemberSet members = state.members();
        mParts.versions().retain(members);
        mParts.confirmation().adopt(state.version(), members);
        mParts.acceptance().adopt(state.version(), members);
        mLeft = mPlanner.wasRemoved(members) || (mLeft && !isMember(members));
        if (isMember(previous.members()) && !isMember(members)) {
            mLeft = true;
        }
        boolean changed = !previous.members().equals(members);
        if (changed || state.version() > previous.version() + 1) {
            awaitAcceptance(previous, state);
        }
    }

    private boolean isMember(MemberSet members) {
        return members.find(mParts.self().id()).isPresent();
    }

    private void awaitAcceptance(VersionedState previous, VersionedState state) {
        var unused =
                mParts.acceptance()
                        .awaitAccepted(state.version(), ACCEPTANCE_TIMEOUT_MILLIS)
                        .thenAcceptAsync(
                                result -> {
                                    if (result.accepted()) {
                                        onAccepted(previous, state);
                                    } else if (mParts.publisher().state().version()
                                            == state.version()) {
                                        awaitAcceptance(previous, state);
                                    }
                                },
                                mParts.control());
    }

    /**
     * A removed member cannot start work any more, so its usage reports count from now on. Claims
     * may be granted under the new set.
     */
    private void onAccepted(VersionedState previous, VersionedState state) {
        long nowMillis = mParts.nowMillis().getAsLong();
        Set<String> holders = new HashSet<>();
        previous.members().members().forEach(member -> holders.add(member.id()));
        state.rights().teams().values().forEach(d -> holders.addAll(d.basis().keySet()));
        state.members().members().forEach(member -> holders.remove(member.id()));
        holders.forEach(id -> mParts.endedDaemons().onEnded(id, nowMillis));
        if (mParts.publisher().state().version() != state.version()) {
            return;
        }
        if (skippedMemberSets(previous, state)) {
            // An owner in a skipped member set may have granted ids, so all earlier ids are
            // unknown.
            mParts.claims().onMembersAccepted(List.of("skipped"), nowMillis);
        }
        mParts.claims().onMembersAccepted(ids(state.members()), nowMillis);
    }

    private static boolean skippedMemberSets(VersionedState previous, VersionedState state) {
        return state.members().generation() > previous.members().generation() + 1;
    }

    private void commit(MemberSetChange change) {
        mCommitting = true;
        CompletableFuture<ChangeResult> commit =
                mParts.repository()
                        .commitSystem(
                                UUID.randomUUID().toString(),
                                mParts.self().id(),
                                state -> next(state, change.next()),
                                change.baseVersion(),
                                mParts.nowMillis().getAsLong());
        var unused =
                commit.whenCompleteAsync(
                        (result, failure) -> {
                            mCommitting = false;
                            if (result instanceof ChangeResult.Committed committed) {
                                Logger.info("membership: committed {}.", change.reason());
                                mParts.publisher().adopt(committed.state());
                            } else if (failure != null) {
                                Logger.warn(
                                        "membership: {} not committed: {}.",
                                        change.reason(),
                                        failure.getMessage());
                            }
                        },
                        mParts.control());
    }

    private SystemState next(VersionedState state, MemberSet members) {
        RightsDivision rights = state.rights();
        Set<String> removed = new HashSet<>(ids(state.members()));
        removed.removeAll(ids(members));
        if (rights.slotDaemons().isEmpty()) {
            return new SystemState(members, withSlotDaemons(rights, ids(members)));
        }
        // A daemon that left gracefully has given its slots away; those of others are lost.
        boolean slotsLost = removed.stream().anyMatch(this::endedWithoutFarewell);
        return new SystemState(members, slotsLost ? withSlotDaemons(rights, ids(members)) : rights);
    }

    private boolean endedWithoutFarewell(String memberId) {
        return !memberId.equals(mParts.self().id())
                && mParts.endedMembers()
                        .evidence(memberId)
                        .filter(evidence -> evidence == EndEvidence.FAREWELL)
                        .isEmpty();
    }

    private static RightsDivision withSlotDaemons(RightsDivision rights, List<String> daemons) {
        return new RightsDivision(rights.teams(), rights.slotEpoch() + 1, daemons);
    }

    private static List<String> ids(MemberSet members) {
        return members.members().stream().map(Member::id).toList();
    }
}

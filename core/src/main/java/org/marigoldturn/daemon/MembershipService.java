package org.marigoldturn.daemon;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.marigoldturn.membership.EndEvidence;
import org.marigoldturn.membership.MemberSetChange;
import org.marigoldturn.membership.MemberSetCommitter;
import org.marigoldturn.membership.MembershipController;
import org.marigoldturn.rights.EndedDaemons;
import org.marigoldturn.routing.RequestClaims;
import org.marigoldturn.settings.ChangeResult;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.MemberSet;
import org.marigoldturn.settings.RightsDivision;
import org.marigoldturn.settings.SettingsRepository;
import org.marigoldturn.settings.SystemState;
import org.marigoldturn.settings.VersionedState;

/**
 * Commits changes of the member set, and tells rights and claims what their acceptance implies.
 * Belongs to the control thread.
 */
final class MembershipService implements MemberSetCommitter {
    /** Longest wait for the acceptance of a member set before it is asked for again. */
    private static final long ACCEPTANCE_TIMEOUT_MILLIS = 60_000;

    private final String mSelfId;
    private final EndedDaemons mEndedDaemons;
    private final RequestClaims mClaims;
    private final StatePublisher mPublisher;
    private final SettingsRepository mRepository;
    private final ControlLoop mControl;
    private final LongSupplier mNowMillis;
    private MembershipController mController;
    private MemberSet mAccepted = MemberSet.EMPTY;
    private long mAwaitedGeneration;

    MembershipService(
            String selfId,
            EndedDaemons endedDaemons,
            RequestClaims claims,
            StatePublisher publisher,
            SettingsRepository repository,
            ControlLoop control,
            LongSupplier nowMillis) {
        mSelfId = selfId;
        mEndedDaemons = endedDaemons;
        mClaims = claims;
        mPublisher = publisher;
        mRepository = repository;
        mControl = control;
        mNowMillis = nowMillis;
        publisher.addListener((previous, state) -> onState(state));
    }

    /** Connects the controller; to be called before the first state is adopted. */
    void connect(MembershipController controller) {
        mController = controller;
    }

    /** Records that the process of a member has ended. */
    void onEnded(String memberId, EndEvidence evidence) {
        mController.recordEnd(memberId, evidence);
        long nowMillis = mNowMillis.getAsLong();
        if (evidence == EndEvidence.FAREWELL) {
            mEndedDaemons.onFarewell(memberId, nowMillis);
        } else if (evidence.isConclusive()) {
            mEndedDaemons.onEnded(memberId, nowMillis);
        }
    }

    @Override
    public CompletableFuture<Boolean> commit(MemberSetChange change) {
        return mRepository
                .commitSystem(
                        UUID.randomUUID().toString(),
                        mSelfId,
                        state -> next(state, change.next()),
                        change.baseVersion(),
                        mNowMillis.getAsLong())
                .thenApplyAsync(this::adopted, mControl);
    }

    /** Removes a member on the operator's word that its process has ended. */
    CompletableFuture<ChangeResult> forget(String memberId, String changeId, String author) {
        mControl.execute(() -> onEnded(memberId, EndEvidence.OPERATOR));
        return mRepository
                .commitSystem(
                        changeId,
                        author,
                        state -> next(state, without(state.members(), memberId)),
                        mPublisher.state().version(),
                        mNowMillis.getAsLong())
                .thenApplyAsync(
                        result -> {
                            adopted(result);
                            return result;
                        },
                        mControl);
    }

    private boolean adopted(ChangeResult result) {
        if (result instanceof ChangeResult.Committed committed) {
            mPublisher.adopt(committed.state());
            return true;
        }
        return false;
    }

    private void onState(VersionedState state) {
        long generation = state.members().generation();
        // Before the version is published, and so before other daemons see that it is held.
        mClaims.onMembersAdopted(generation, ids(state.members()));
        if (generation > mAccepted.generation() && generation > mAwaitedGeneration) {
            mAwaitedGeneration = generation;
            // The trackers adopt the version after this call.
            mControl.execute(() -> awaitAcceptance(state));
        }
    }

    private void awaitAcceptance(VersionedState state) {
        var unused =
                mController
                        .acceptance()
                        .awaitAccepted(state.version(), ACCEPTANCE_TIMEOUT_MILLIS)
                        .thenAcceptAsync(
                                result -> {
                                    if (result.accepted()) {
                                        onAccepted(state);
                                    } else if (mAwaitedGeneration == state.members().generation()) {
                                        awaitAcceptance(state);
                                    }
                                },
                                mControl);
    }

    /**
     * A removed member cannot start work any more, so its usage reports count from now on. Claims
     * may be granted under the new set.
     */
    private void onAccepted(VersionedState state) {
        MemberSet members = state.members();
        if (members.generation() <= mAccepted.generation()) {
            return;
        }
        long nowMillis = mNowMillis.getAsLong();
        Set<String> removed = new HashSet<>(ids(mAccepted));
        state.rights().teams().values().forEach(d -> removed.addAll(d.basis().keySet()));
        removed.removeAll(ids(members));
        removed.forEach(id -> mEndedDaemons.onEnded(id, nowMillis));
        mClaims.onMembersAccepted(members.generation(), nowMillis);
        mAccepted = members;
    }

    private SystemState next(VersionedState state, MemberSet members) {
        RightsDivision rights = state.rights();
        Set<String> removed = new HashSet<>(ids(state.members()));
        removed.removeAll(ids(members));
        // A daemon that left gracefully has given its slots away, unless it was the last one.
        boolean slotsLost =
                state.members().members().isEmpty()
                        || removed.stream().anyMatch(this::endedWithoutFarewell);
        return new SystemState(members, slotsLost ? withNewSlots(state, ids(members)) : rights);
    }

    private boolean endedWithoutFarewell(String memberId) {
        return !memberId.equals(mSelfId)
                && mController
                        .ended()
                        .evidence(memberId)
                        .filter(evidence -> evidence == EndEvidence.FAREWELL)
                        .isEmpty();
    }

    private static RightsDivision withNewSlots(VersionedState state, List<String> daemons) {
        RightsDivision rights = state.rights();
        Set<String> hosts = state.settings().hosts().keySet();
        return new RightsDivision(
                rights.teams(), rights.slots().renew(hosts, daemons, state.version() + 1));
    }

    private static MemberSet without(MemberSet members, String memberId) {
        return new MemberSet(
                members.members().stream().filter(m -> !m.id().equals(memberId)).toList());
    }

    private static List<String> ids(MemberSet members) {
        return members.members().stream().map(Member::id).toList();
    }
}

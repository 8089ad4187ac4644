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
 * Commits changes of the member set. When a set is accepted, so that no daemon serves an older one,
 * it updates the records of ended daemons and of request claims. Belongs to the control thread.
 */
final class MembershipService implements MemberSetCommitter {
    /** Longest wait for the acceptance of a member set before the wait is renewed. */
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

    /** Sets the controller; to be called before the first state is adopted. */
    void connect(MembershipController controller) {
        mController = controller;
    }

    /** Records evidence that the process of a member has ended. */
    void onEnded(String memberId, EndEvidence evidence) {
        mController.recordEnd(memberId, evidence);
        long nowMillis = mNowMillis.getAsLong();
        if (evidence == EndEvidence.FAREWELL) {
            mEndedDaemons.onShutdownMessage(memberId, nowMillis);
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

    /** Removes a member whose process has ended, as confirmed by an operator. */
    CompletableFuture<ChangeResult> removeEndedMember(
            String memberId, String changeId, String author) {
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
        // Must precede the publication, after which other daemons see that the version is held.
        mClaims.onMembersAdopted(generation, ids(state.members()));
        if (generation > mAccepted.generation() && generation > mAwaitedGeneration) {
            mAwaitedGeneration = generation;
            // Runs later, because the acceptance tracker adopts the version only after this call.
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
     * Records removed members as ended, because they can't start requests any more: usage reports
     * made from now on show whether they still run any. Claims may be granted under the new set.
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
        // A daemon that left gracefully has handed its slots over, unless it was the last member.
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
                rights.teams(), rights.slots().reassign(hosts, daemons, state.version() + 1));
    }

    private static MemberSet without(MemberSet members, String memberId) {
        return new MemberSet(
                members.members().stream().filter(m -> !m.id().equals(memberId)).toList());
    }

    private static List<String> ids(MemberSet members) {
        return members.members().stream().map(Member::id).toList();
    }
}

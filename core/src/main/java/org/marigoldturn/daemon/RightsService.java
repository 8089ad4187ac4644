package org.marigoldturn.daemon;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.peer.wire.FreezeReply;
import org.marigoldturn.peer.wire.RightsTotals;
import org.marigoldturn.peer.wire.TransferHint;
import org.marigoldturn.rights.AddressedTotals;
import org.marigoldturn.rights.EndedDaemons;
import org.marigoldturn.rights.Redistribution;
import org.marigoldturn.rights.RightsLedger;
import org.marigoldturn.settings.ChangeResult;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.ResourceDivision;
import org.marigoldturn.settings.RightsDivision;
import org.marigoldturn.settings.SettingsRepository;
import org.marigoldturn.settings.SystemState;
import org.marigoldturn.settings.VersionedState;
import org.tinylog.Logger;

/**
 * Transfers rights between this daemon and others, and redistributes the rights of teams when the
 * division no longer matches the settings or the members. A request needs a right of its team and a
 * right to a host slot; each right permits one request at a time. Belongs to the control thread.
 */
final class RightsService {
    /** Time after which an attempt to redistribute is abandoned. */
    private static final long ATTEMPT_TIMEOUT_MILLIS = 5_000;

    /** Shortest time between attempts; each failed attempt creates a version. */
    private static final long ATTEMPT_INTERVAL_MILLIS = 10_000;

    private final RightsLedger mLedger;
    private final EndedDaemons mEnded;
    private final PeerLink mPeers;
    private final StatePublisher mPublisher;
    private final SettingsRepository mRepository;
    private final ControlLoop mControl;
    private final LongSupplier mNowMillis;
    private final Runnable mOnRightsArrived;
    private final Runnable mOnReserved;
    private Redistribution mAttempt;
    private VersionedState mAttemptBase;
    private boolean mCommitting;
    private long mAttemptAtMillis;

    RightsService(
            RightsLedger ledger,
            EndedDaemons ended,
            PeerLink peers,
            StatePublisher publisher,
            SettingsRepository repository,
            ControlLoop control,
            LongSupplier nowMillis,
            Runnable onRightsArrived,
            Runnable onReserved) {
        mLedger = ledger;
        mEnded = ended;
        mPeers = peers;
        mPublisher = publisher;
        mRepository = repository;
        mControl = control;
        mNowMillis = nowMillis;
        mOnRightsArrived = onRightsArrived;
        mOnReserved = onReserved;
    }

    void onTotals(String sender, RightsTotals totals) {
        mLedger.onTotals(sender, totals);
        mOnRightsArrived.run();
    }

    void onAck(String sender, RightsTotals accepted) {
        mLedger.onAck(sender, accepted);
    }

    /**
     * Transfers rights as a hint asks, unless the recipient has ended: the rights would be lost.
     */
    void onHint(TransferHint hint) {
        if (mEnded.hasEnded(hint.getTaker())) {
            return;
        }
        send(mLedger.onHint(hint, mNowMillis.getAsLong()));
        if (hasReservations()) {
            mOnReserved.run();
        }
    }

    /** Returns whether rights are reserved for a transfer but are not free yet. */
    boolean hasReservations() {
        return mLedger.hasReservations();
    }

    /**
     * Transfers reserved rights that have become free; called every 50 ms while there are
     * reservations.
     */
    void transferReserved() {
        mLedger.cancelReservations(mEnded::hasEnded);
        send(mLedger.transferReserved(mNowMillis.getAsLong()));
    }

    /**
     * Sends unacknowledged totals, the cumulative counts of transferred rights, again and
     * acknowledges received ones; called every second.
     */
    void resendAndAcknowledge() {
        send(mLedger.totalsToResend(mNowMillis.getAsLong()));
        for (AddressedTotals ack : mLedger.acknowledgements()) {
            mPeers.send(ack.receiver(), Envelope.newBuilder().setRightsAck(ack.totals()));
        }
    }

    /** Transfers all free rights to others; called repeatedly during a graceful shutdown. */
    void transferAll(Collection<String> recipients) {
        send(mLedger.transferAll(recipients, mNowMillis.getAsLong()));
    }

    /**
     * Starts, continues or abandons a redistribution; called every second while this daemon holds
     * the role for it.
     *
     * @param responsiveMembers members that reply to pings
     */
    void redistribute(Supplier<Set<String>> responsiveMembers) {
        long nowMillis = mNowMillis.getAsLong();
        VersionedState state = mPublisher.state();
        if (mCommitting) {
            return;
        }
        if (mAttempt != null) {
            continueAttempt(state, nowMillis);
            return;
        }
        Set<String> teams = Redistribution.teamsToRedistribute(state, mEnded);
        boolean early = nowMillis - mAttemptAtMillis < ATTEMPT_INTERVAL_MILLIS;
        if (teams.isEmpty() || early) {
            return;
        }
        Redistribution attempt = new Redistribution(state, teams);
        Set<String> unresponsive = attempt.pending(idleEndedDaemons(state));
        unresponsive.removeAll(responsiveMembers.get());
        // Former members can't reply; usage reports must first prove that they run nothing.
        if (unresponsive.isEmpty()) {
            start(attempt, state, nowMillis);
        }
    }

    private void start(Redistribution attempt, VersionedState state, long nowMillis) {
        mAttempt = attempt;
        mAttemptBase = state;
        mAttemptAtMillis = nowMillis;
        Logger.info(
                "rights: redistribution based on version {} started; asking all members to"
                        + " freeze their rights until a new version is committed.",
                state.version());
        for (Member member : state.members().members()) {
            CompletableFuture<Envelope> call =
                    mPeers.call(
                            member.id(), Envelope.newBuilder().setFreezeRequest(attempt.request()));
            var unused =
                    call.thenAcceptAsync(
                            reply -> onFreezeReply(attempt, member.id(), reply.getFreezeReply()),
                            mControl);
        }
    }

    private void onFreezeReply(Redistribution attempt, String member, FreezeReply reply) {
        if (attempt == mAttempt) {
            attempt.onReply(member, reply);
            continueAttempt(mPublisher.state(), mNowMillis.getAsLong());
        }
    }

    private void continueAttempt(VersionedState state, long nowMillis) {
        if (mCommitting) {
            return;
        }
        if (state.version() != mAttemptBase.version()) {
            mAttempt = null;
            return;
        }
        Optional<Map<String, ResourceDivision>> result =
                mAttempt.result(idleEndedDaemons(mAttemptBase));
        if (result.isPresent()) {
            commit(result.get(), "redistribution");
        } else if (mAttempt.refused() || nowMillis - mAttemptAtMillis > ATTEMPT_TIMEOUT_MILLIS) {
            commit(Map.of(), "end of the freeze after an abandoned redistribution");
        }
    }

    /** Commits the divisions; without any, the new version just ends the freeze of the rights. */
    private void commit(Map<String, ResourceDivision> divisions, String description) {
        mCommitting = true;
        CompletableFuture<ChangeResult> commit =
                mRepository.commitSystem(
                        UUID.randomUUID().toString(),
                        "rights",
                        state -> new SystemState(state.members(), with(state.rights(), divisions)),
                        mAttemptBase.version(),
                        mNowMillis.getAsLong());
        var unused =
                commit.whenCompleteAsync(
                        (outcome, failure) -> {
                            mCommitting = false;
                            mAttempt = null;
                            if (outcome instanceof ChangeResult.Committed committed) {
                                logCommitted(divisions, committed.state().state().version());
                                mPublisher.adopt(committed.state());
                            } else {
                                Logger.warn(
                                        "rights: {} not committed: {}.",
                                        description,
                                        failure == null ? outcome : failure);
                            }
                        },
                        mControl);
    }

    private static void logCommitted(Map<String, ResourceDivision> divisions, long version) {
        if (divisions.isEmpty()) {
            Logger.info("rights: redistribution abandoned; version {} ends the freeze.", version);
        } else {
            Logger.info("rights: committed redistribution of teams {}.", divisions.keySet());
        }
    }

    private static RightsDivision with(
            RightsDivision rights, Map<String, ResourceDivision> divisions) {
        Map<String, ResourceDivision> teams = new TreeMap<>(rights.teams());
        teams.putAll(divisions);
        return new RightsDivision(teams, rights.slots());
    }

    private Set<String> idleEndedDaemons(VersionedState state) {
        return mEnded.withoutRequests(state.settings().hosts().keySet());
    }

    private void send(List<AddressedTotals> messages) {
        for (AddressedTotals message : messages) {
            mPeers.send(
                    message.receiver(), Envelope.newBuilder().setRightsTotals(message.totals()));
        }
    }
}

package org.marigoldturn.membership;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.marigoldturn.peer.PeerConnections;
import org.marigoldturn.peer.PeerListener;
import org.marigoldturn.peer.PeerNetwork;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.settings.LoadedState;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.MemberSet;
import org.marigoldturn.store.KeyValueStore;
import org.tinylog.Logger;

/**
 * Passes events of the transport and the store to the decision classes of this package, and carries
 * out their decisions.
 *
 * <p>The order within {@link #adopt} matters: the request path must see a version before {@link
 * #gate} permits work by it, and the gate must have adopted it before it is reported to another
 * daemon, since a reported version counts as acknowledged.
 *
 * <p>{@link PeerListener} methods, {@link #handle}, {@link #gate}, {@link #acceptance} and {@link
 * #reachesStore} are safe on any thread; all others belong to the control thread.
 */
public final class MembershipController implements PeerListener {
    /** Age up to which a ping or a confirmation counts as recent. */
    private static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final String mSelfId;
    private final PeerVersions mVersions = new PeerVersions();
    private final EndedMembers mEnded = new EndedMembers();
    private final ConfirmationTracker mTracker;
    private final AcceptanceTracker mAcceptance;
    private final StoreConfirmer mConfirmer;
    private final Executor mControl;
    private final LongSupplier mNanoClock;
    private final Consumer<LoadedState> mPublish;
    private final MemberSetCommitter mCommitter;
    private final Runnable mReload;
    private Optional<MembershipPlanner> mPlanner = Optional.empty();
    private boolean mCommitting;
    private volatile LoadedState mHeld;
    private volatile StatePropagator mPropagator;
    private volatile PeerConnections mConnections;

    /** Dependencies of the controller on other components. */
    public record Environment(
            KeyValueStore store,
            String storePrefix,
            Executor control,
            LongSupplier nanoClock,
            Consumer<LoadedState> publish,
            Runnable reload,
            MemberSetCommitter committer) {}

    /**
     * Creates a controller that holds the initial state and is not connected.
     *
     * @param environment {@code publish} makes a newer state visible to the request path; {@code
     *     reload} starts to read the store and passes the result to {@link #adopt}
     */
    public MembershipController(String selfId, LoadedState initial, Environment environment) {
        mSelfId = selfId;
        mControl = environment.control();
        mNanoClock = environment.nanoClock();
        mPublish = environment.publish();
        mReload = environment.reload();
        mCommitter = environment.committer();
        mHeld = initial;
        mTracker = new ConfirmationTracker(selfId, mVersions);
        mAcceptance = new AcceptanceTracker(selfId, mVersions, mEnded, mControl, mNanoClock);
        mConfirmer =
                new StoreConfirmer(
                        environment.store(),
                        environment.storePrefix(),
                        selfId,
                        mTracker,
                        mReload,
                        mControl);
    }

    /** Connects the transport; called once, before it starts and before the first tick. */
    public void attach(PeerNetwork network, PeerConnections connections) {
        mPropagator = new StatePropagator(network, () -> mHeld, this::adopt, mControl);
        mConnections = connections;
    }

    /** Makes this daemon join as soon as possible; its ports must already be open. */
    public void join(Member self) {
        mPlanner = Optional.of(new MembershipPlanner(self, mVersions, mEnded));
    }

    /** Permanently stops the start of new work; running work continues. */
    public void stopServing() {
        mTracker.stop();
    }

    /**
     * Stops the start of new work and leaves the member set; the daemon must already have
     * transferred its rights to others.
     */
    public void leave() {
        mTracker.stop();
        mPlanner.ifPresent(MembershipPlanner::requestLeave);
    }

    /**
     * Adopts a state from the store or from a peer. A state that is not newer is ignored, except
     * that one of the held version supplies the store revision if it has one: a peer may not have
     * known it.
     */
    public void adopt(LoadedState state) {
        long version = state.state().version();
        long heldVersion = mHeld.state().version();
        if (version < heldVersion || (version == heldVersion && state.manifestRevision() == 0)) {
            return;
        }
        mHeld = state;
        if (version == heldVersion) {
            return;
        }
        MemberSet members = state.state().members();
        mPublish.accept(state);
        mVersions.retain(members);
        mTracker.adopt(version, members);
        mAcceptance.adopt(version, members);
        mConnections.updateMembers(members);
        mConnections.pingAll();
        evaluate();
    }

    /**
     * Requests a confirmation from the store, evaluates the replies of peers, and plans changes of
     * the member set; called every 500 ms.
     */
    public void tick() {
        LoadedState held = mHeld;
        mConfirmer.tick(held.state().version(), held.manifestRevision(), mNanoClock.getAsLong());
        evaluate();
        planMembers(held);
    }

    /** Returns whether this daemon was a member and no longer is; its process must then end. */
    public boolean wasRemoved() {
        MemberSet members = mHeld.state().members();
        return mPlanner.filter(planner -> planner.wasRemoved(members)).isPresent();
    }

    /** Records evidence that the process of a member has ended. */
    public void recordEnd(String memberId, EndEvidence evidence) {
        if (mEnded.record(memberId, evidence, mNanoClock.getAsLong())) {
            Logger.info(
                    "membership: evidence that member {} has ended: {} (conclusive: {}).",
                    memberId,
                    evidence,
                    evidence.isConclusive());
        }
    }

    /** Returns the evidence of ended processes. */
    public EndedMembers ended() {
        return mEnded;
    }

    /**
     * Returns the members that replied to a ping sent in the last 2 s and have not ended by
     * conclusive evidence, and this daemon if it is a member.
     */
    public Set<String> respondingMembers() {
        MemberSet members = mHeld.state().members();
        long sinceNanos = mNanoClock.getAsLong() - RECENT_NANOS;
        Set<String> responding =
                new HashSet<>(mVersions.repliedSince(members, mSelfId, sinceNanos));
        if (members.find(mSelfId).isPresent()) {
            responding.add(mSelfId);
        }
        // A leaving daemon that has transferred its rights replies to pings until it has left the
        // member set.
        responding.removeIf(mEnded::isConclusive);
        return responding;
    }

    /**
     * Returns whether the store has confirmed the held version by a request sent in the last 2 s.
     * Safe on any thread.
     */
    public boolean reachesStore() {
        return mConfirmer.confirmedSince(mNanoClock.getAsLong() - RECENT_NANOS);
    }

    /** Returns the gate that tells the request path whether new work may start. */
    public ConfirmationTracker gate() {
        return mTracker;
    }

    /** Returns the object by which operator requests wait for the acceptance of changes. */
    public ChangeAcceptance acceptance() {
        return mAcceptance;
    }

    /**
     * Handles the messages of membership: state requests and farewells.
     *
     * @return the reply, or empty if the message belongs to another component
     */
    public Optional<CompletableFuture<Envelope.Builder>> handle(String sender, Envelope message) {
        if (message.hasStateRequest()) {
            Envelope.Builder reply = mPropagator.serve(message.getStateRequest());
            return Optional.of(CompletableFuture.completedFuture(reply));
        }
        if (message.hasFarewell()) {
            mControl.execute(() -> recordEnd(sender, EndEvidence.FAREWELL));
            return Optional.of(CompletableFuture.completedFuture(Envelope.newBuilder()));
        }
        return Optional.empty();
    }

    @Override
    public long heldVersion() {
        return mTracker.heldVersion();
    }

    @Override
    public void onPong(String memberId, long version, long sentNanos) {
        mControl.execute(
                () -> {
                    mVersions.onReply(memberId, version, sentNanos);
                    onVersion(memberId, version);
                });
    }

    @Override
    public void onPing(String senderId, long version) {
        mControl.execute(
                () -> {
                    mVersions.onReport(senderId, version);
                    onVersion(senderId, version);
                });
    }

    @Override
    public void onConnectionRefused(String memberId) {
        mControl.execute(() -> recordEnd(memberId, EndEvidence.CONNECTION_REFUSED));
    }

    @Override
    public void onAddressTaken(String memberId, String actualId) {
        mControl.execute(() -> recordEnd(memberId, EndEvidence.ADDRESS_TAKEN));
    }

    private void onVersion(String memberId, long version) {
        mEnded.onMessage(memberId);
        if (mHeld.state().members().find(memberId).isPresent()) {
            mPropagator.onVersion(memberId, version);
        } else if (version > mHeld.state().version()) {
            // The sender joined in a version that is not yet held, so no connection to it exists
            // from which to fetch that version.
            mReload.run();
        }
        evaluate();
    }

    private void evaluate() {
        long nowNanos = mNanoClock.getAsLong();
        mTracker.evaluatePeers(nowNanos);
        mAcceptance.evaluate(nowNanos);
    }

    private void planMembers(LoadedState held) {
        if (mCommitting || mPlanner.isEmpty()) {
            return;
        }
        long version = held.state().version();
        mPlanner.get()
                .plan(version, held.state().members(), mNanoClock.getAsLong())
                .ifPresent(this::commit);
    }

    private void commit(MemberSetChange change) {
        mCommitting = true;
        ControlCallbacks.whenDone(
                mCommitter.commit(change),
                mControl,
                (committed, failure) -> {
                    mCommitting = false;
                    if (failure != null) {
                        Logger.warn(
                                "membership: cannot commit {}: {}; planning it again",
                                change.reason(),
                                failure);
                        return;
                    }
                    Logger.info(
                            committed
                                    ? "membership: committed {}; reading the store."
                                    : "membership: {} not committed, since another version was"
                                            + " committed first; reading the store.",
                            change.reason());
                    mReload.run();
                });
    }
}

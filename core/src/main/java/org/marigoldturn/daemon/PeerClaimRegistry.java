package org.marigoldturn.daemon;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.marigoldturn.membership.AcceptanceTracker;
import org.marigoldturn.peer.PeerException;
import org.marigoldturn.peer.PeerNotReachableException;
import org.marigoldturn.peer.wire.ClaimHandover;
import org.marigoldturn.peer.wire.ClaimRelease;
import org.marigoldturn.peer.wire.ClaimReply;
import org.marigoldturn.peer.wire.ClaimRequest;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.routing.ClaimHandoverData;
import org.marigoldturn.routing.ClaimRegistry;
import org.marigoldturn.routing.ClaimResult;
import org.marigoldturn.routing.RequestClaims;
import org.marigoldturn.routing.RequestId;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.VersionedState;
import org.tinylog.Logger;

/**
 * Claims request ids by calling their owners, and handles the claims that other daemons make. The
 * owner of an id is the member that decides and records its claims. Thread safe.
 */
final class PeerClaimRegistry implements ClaimRegistry {
    /** Longest time for which a claim is retried while the id has no owner that can decide. */
    private static final long RETRY_TIMEOUT_MILLIS =
            AcceptanceTracker.ACCEPTANCE_WAIT_MILLIS + 1_500;

    private static final long RETRY_INTERVAL_MILLIS = 20;

    private static final Executor RETRY_DELAY =
            CompletableFuture.delayedExecutor(RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);

    private final PeerLink mPeers;
    private final RequestClaims mClaims;
    private final StatePublisher mPublisher;
    private final LongSupplier mNowMillis;
    private final Set<String> mHandoversInProgress = ConcurrentHashMap.newKeySet();

    PeerClaimRegistry(
            PeerLink peers,
            RequestClaims claims,
            StatePublisher publisher,
            LongSupplier nowMillis) {
        mPeers = peers;
        mClaims = claims;
        mPublisher = publisher;
        mNowMillis = nowMillis;
    }

    @Override
    public CompletableFuture<ClaimResult> claim(RequestId id) {
        return claim(id, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RETRY_TIMEOUT_MILLIS));
    }

    /** Retries a claim that was certainly not granted; a claim without a reply is not retried. */
    private CompletableFuture<ClaimResult> claim(RequestId id, long deadlineNanos) {
        return claimOnce(id)
                .exceptionallyCompose(PeerClaimRegistry::notOwnerIfNotSent)
                .thenCompose(
                        result -> {
                            if (result != ClaimResult.NOT_OWNER
                                    || System.nanoTime() - deadlineNanos >= 0) {
                                return CompletableFuture.completedFuture(result);
                            }
                            return CompletableFuture.runAsync(() -> {}, RETRY_DELAY)
                                    .thenCompose(waited -> claim(id, deadlineNanos));
                        });
    }

    /**
     * Treats an unsent claim as not decided: an owner that has just joined is not connected yet.
     */
    private static CompletableFuture<ClaimResult> notOwnerIfNotSent(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof PeerNotReachableException
                ? CompletableFuture.completedFuture(ClaimResult.NOT_OWNER)
                : CompletableFuture.failedFuture(cause);
    }

    private CompletableFuture<ClaimResult> claimOnce(RequestId id) {
        VersionedState state = mPublisher.state();
        Optional<String> owner = RequestClaims.owner(id, memberIds(state));
        if (owner.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new PeerException(
                            "request id " + id + " has no owner: the member set is empty", null));
        }
        ClaimRequest request =
                ClaimRequest.newBuilder()
                        .setRequestId(bytes(id))
                        .setVersion(state.version())
                        .build();
        return mPeers.call(owner.get(), Envelope.newBuilder().setClaimRequest(request))
                .thenApply(reply -> result(reply.getClaimReply()));
    }

    @Override
    public void release(RequestId id) {
        ClaimRelease release = ClaimRelease.newBuilder().setRequestId(bytes(id)).build();
        owner(id)
                .ifPresent(
                        ownerId ->
                                mPeers.send(
                                        ownerId, Envelope.newBuilder().setClaimRelease(release)));
    }

    /** Decides a claim that another daemon, or this one, makes. */
    Envelope.Builder onRequest(String sender, ClaimRequest request) {
        // With an older version this daemon may not know of owners that the id has had since then.
        ClaimResult result =
                request.getVersion() > mPublisher.state().version()
                        ? ClaimResult.NOT_OWNER
                        : mClaims.claim(id(request.getRequestId()), sender, mNowMillis.getAsLong());
        ClaimReply.Result replyResult =
                switch (result) {
                    case GRANTED -> ClaimReply.Result.GRANTED;
                    case DUPLICATE -> ClaimReply.Result.DUPLICATE;
                    case UNKNOWN -> ClaimReply.Result.UNKNOWN;
                    case NOT_OWNER -> ClaimReply.Result.NOT_OWNER;
                };
        return Envelope.newBuilder().setClaimReply(ClaimReply.newBuilder().setResult(replyResult));
    }

    void onRelease(String sender, ClaimRelease release) {
        mClaims.release(id(release.getRequestId()), sender);
    }

    void onHandover(String sender, ClaimHandover handover) {
        Set<RequestId> ids = new HashSet<>();
        handover.getRequestIdsList().forEach(bytes -> ids.add(id(bytes)));
        mClaims.receive(
                sender,
                new ClaimHandoverData(
                        ids,
                        handover.getCompleteSinceMillis(),
                        Set.copyOf(handover.getNextMemberIdsList())));
    }

    /** Stops granting claims for good and sends the records to the remaining members. */
    void handOverAll() {
        mClaims.handOverAll(mNowMillis.getAsLong())
                .forEach((owner, data) -> mPeers.send(owner, message(data)));
    }

    /**
     * Sends claims to members that joined and now own the ids, until these members acknowledge
     * them.
     */
    void handOverToJoined() {
        mClaims.joinHandovers(mNowMillis.getAsLong(), mHandoversInProgress).forEach(this::handOver);
    }

    private void handOver(String joiner, ClaimHandoverData data) {
        mHandoversInProgress.add(joiner);
        var unused =
                mPeers.call(joiner, message(data))
                        .whenComplete(
                                (reply, failure) -> {
                                    if (failure == null) {
                                        mClaims.onHandedOver(joiner);
                                        Logger.info(
                                                "routing: handed over the claims of {}"
                                                        + " request ids to {}.",
                                                data.ids().size(),
                                                joiner);
                                    }
                                    mHandoversInProgress.remove(joiner);
                                });
    }

    private static Envelope.Builder message(ClaimHandoverData data) {
        ClaimHandover.Builder message =
                ClaimHandover.newBuilder()
                        .setCompleteSinceMillis(data.completeSinceMillis())
                        .addAllNextMemberIds(data.nextMemberIds());
        data.ids().forEach(id -> message.addRequestIds(bytes(id)));
        return Envelope.newBuilder().setClaimHandover(message);
    }

    private Optional<String> owner(RequestId id) {
        return RequestClaims.owner(id, memberIds(mPublisher.state()));
    }

    private static List<String> memberIds(VersionedState state) {
        return state.members().members().stream().map(Member::id).toList();
    }

    private static ClaimResult result(ClaimReply reply) {
        return switch (reply.getResult()) {
            case GRANTED -> ClaimResult.GRANTED;
            case DUPLICATE -> ClaimResult.DUPLICATE;
            case NOT_OWNER -> ClaimResult.NOT_OWNER;
            default -> ClaimResult.UNKNOWN;
        };
    }

    private static ByteString bytes(RequestId id) {
        ByteBuffer buffer = ByteBuffer.allocate(Long.BYTES * 2);
        buffer.putLong(id.uuid().getMostSignificantBits());
        buffer.putLong(id.uuid().getLeastSignificantBits());
        return ByteString.copyFrom(buffer.flip());
    }

    private static RequestId id(ByteString bytes) {
        if (bytes.size() != Long.BYTES * 2) {
            throw new IllegalArgumentException(
                    "request id must have 16 bytes, not " + bytes.size());
        }
        ByteBuffer buffer = bytes.asReadOnlyByteBuffer();
        return new RequestId(new UUID(buffer.getLong(), buffer.getLong()));
    }
}

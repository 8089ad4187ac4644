package org.marigoldturn.daemon;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.marigoldturn.peer.PeerException;
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

/** Claims request ids at their owners among the members. Thread safe. */
final class PeerClaimRegistry implements ClaimRegistry {
    private final PeerLink mPeers;
    private final RequestClaims mClaims;
    private final StatePublisher mPublisher;
    private final LongSupplier mNowMillis;

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
        Optional<String> owner = owner(id);
        if (owner.isEmpty()) {
            return CompletableFuture.failedFuture(new PeerException("there are no members", null));
        }
        ClaimRequest request =
                ClaimRequest.newBuilder()
                        .setRequestId(bytes(id))
                        .setVersion(mPublisher.state().version())
                        .build();
        return mPeers.call(owner.get(), Envelope.newBuilder().setClaimRequest(request))
                .thenApply(reply -> result(reply.getClaimReply()));
    }

    @Override
    public void release(RequestId id) {
        ClaimRelease release = ClaimRelease.newBuilder().setRequestId(bytes(id)).build();
        owner(id).ifPresent(o -> mPeers.send(o, Envelope.newBuilder().setClaimRelease(release)));
    }

    /** Decides a claim of another daemon, or of this one. */
    Envelope.Builder onRequest(String sender, ClaimRequest request) {
        ClaimResult result =
                mClaims.claim(id(request.getRequestId()), sender, mNowMillis.getAsLong());
        ClaimReply.Result wire =
                switch (result) {
                    case GRANTED -> ClaimReply.Result.GRANTED;
                    case DUPLICATE -> ClaimReply.Result.DUPLICATE;
                    case UNKNOWN -> ClaimReply.Result.UNKNOWN;
                    case NOT_OWNER -> ClaimReply.Result.NOT_OWNER;
                };
        return Envelope.newBuilder().setClaimReply(ClaimReply.newBuilder().setResult(wire));
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

    /** Stops granting and hands the records to the members that remain. */
    void handOver(List<String> nextMemberIds) {
        Map<String, ClaimHandoverData> handovers =
                mClaims.handOver(nextMemberIds, mNowMillis.getAsLong());
        handovers.forEach(
                (owner, data) -> {
                    ClaimHandover.Builder message =
                            ClaimHandover.newBuilder()
                                    .setCompleteSinceMillis(data.completeSinceMillis())
                                    .addAllNextMemberIds(data.nextMemberIds());
                    data.ids().forEach(id -> message.addRequestIds(bytes(id)));
                    mPeers.send(owner, Envelope.newBuilder().setClaimHandover(message));
                });
    }

    private Optional<String> owner(RequestId id) {
        List<String> ids = mPublisher.state().members().members().stream().map(Member::id).toList();
        return RequestClaims.owner(id, ids);
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
            throw new IllegalArgumentException("request id of " + bytes.size() + " bytes");
        }
        ByteBuffer buffer = bytes.asReadOnlyByteBuffer();
        return new RequestId(new UUID(buffer.getLong(), buffer.getLong()));
    }
}

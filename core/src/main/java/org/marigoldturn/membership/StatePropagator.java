package org.marigoldturn.membership;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.marigoldturn.peer.PeerNetwork;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.peer.wire.StateReply;
import org.marigoldturn.peer.wire.StateRequest;
import org.marigoldturn.settings.ContentHash;
import org.marigoldturn.settings.LoadedState;
import org.marigoldturn.settings.Manifest;
import org.marigoldturn.settings.StateCodec;
import org.tinylog.Logger;

/**
 * Fetches newer versions of the state from other daemons and sends the held one to them.
 *
 * <p>A daemon that cannot reach the store receives changes this way. At most one fetch runs at a
 * time; a failed one is repeated when the next ping shows the newer version again. Confined to the
 * control thread, except for {@link #serve}, which any thread may call.
 */
public final class StatePropagator {
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    /** Limits the size of a request when many contents are missing. */
    private static final int MAX_HASHES = 200;

    /**
     * Half of the largest frame of the transport, which leaves space for the manifest; one content
     * of up to a megabyte always fits.
     */
    private static final int MAX_REPLY_BYTES = 2 << 20;

    private final PeerNetwork mNetwork;
    private final Supplier<LoadedState> mHeld;
    private final Consumer<LoadedState> mAdopt;
    private final Executor mControl;
    private boolean mFetching;

    /**
     * A version that is being fetched from one daemon, with the contents present so far by hash.
     */
    private record Fetch(
            String memberId, Manifest manifest, long revision, Map<String, byte[]> contents) {
        List<String> missing() {
            return manifest.entries().values().stream()
                    .filter(hash -> !contents.containsKey(hash))
                    .distinct()
                    .limit(MAX_HASHES)
                    .toList();
        }
    }

    /**
     * Creates a propagator.
     *
     * @param held the held state; must be safe on any thread
     * @param adopt adopts a newer state, called on the control thread; must ignore a state that is
     *     not newer than the held one
     * @param control executor of the control thread
     */
    public StatePropagator(
            PeerNetwork network,
            Supplier<LoadedState> held,
            Consumer<LoadedState> adopt,
            Executor control) {
        mNetwork = network;
        mHeld = held;
        mAdopt = adopt;
        mControl = control;
    }

    /** Fetches the version from the daemon that reported it, if it is newer than the held one. */
    public void onVersion(String memberId, long version) {
        if (mFetching || version <= heldVersion()) {
            return;
        }
        mFetching = true;
        CompletableFuture<Void> outcome =
                request(memberId, StateRequest.newBuilder().setManifest(true).build())
                        .thenComposeAsync(reply -> fetchContents(memberId, reply), mControl);
        ControlCallbacks.whenDone(outcome, mControl, (done, failure) -> finish(memberId, failure));
    }

    /**
     * Returns the reply to another daemon; contents that do not fit or are not held are left out.
     */
    public Envelope.Builder serve(StateRequest request) {
        LoadedState held = mHeld.get();
        StateReply.Builder reply = StateReply.newBuilder();
        if (request.getManifest()) {
            byte[] manifest = StateCodec.encodeManifest(held.state().manifest());
            reply.setManifest(ByteString.copyFrom(manifest));
            reply.setManifestRevision(held.manifestRevision());
        }
        int replyBytes = 0;
        for (String hash : request.getBlobHashesList()) {
            byte[] content = held.contents().get(hash);
            if (content != null && (replyBytes == 0 || fits(replyBytes, content))) {
                reply.addBlobs(ByteString.copyFrom(content));
                replyBytes += content.length;
            }
        }
        return Envelope.newBuilder().setStateReply(reply);
    }

    private static boolean fits(int replyBytes, byte[] content) {
        return replyBytes + content.length <= MAX_REPLY_BYTES;
    }

    private long heldVersion() {
        return mHeld.get().state().version();
    }

    private CompletableFuture<StateReply> request(String memberId, StateRequest request) {
        Envelope.Builder message = Envelope.newBuilder().setStateRequest(request);
        return mNetwork.call(memberId, message, CALL_TIMEOUT_MILLIS)
                .thenApply(Envelope::getStateReply);
    }

    private CompletableFuture<Void> fetchContents(String memberId, StateReply reply) {
        Manifest manifest = StateCodec.decodeManifest(reply.getManifest().toByteArray());
        if (manifest.version() <= heldVersion()) {
            return CompletableFuture.completedFuture(null);
        }
        Map<String, byte[]> contents = new HashMap<>();
        Map<String, byte[]> held = mHeld.get().contents();
        for (String hash : manifest.entries().values()) {
            if (held.containsKey(hash)) {
                contents.put(hash, held.get(hash));
            }
        }
        return fetchMissing(new Fetch(memberId, manifest, reply.getManifestRevision(), contents));
    }

    private CompletableFuture<Void> fetchMissing(Fetch fetch) {
        List<String> missing = fetch.missing();
        if (missing.isEmpty()) {
            adopt(fetch);
            return CompletableFuture.completedFuture(null);
        }
        StateRequest request = StateRequest.newBuilder().addAllBlobHashes(missing).build();
        return request(fetch.memberId(), request)
                .thenComposeAsync(reply -> addContents(fetch, missing, reply), mControl);
    }

    private CompletableFuture<Void> addContents(
            Fetch fetch, List<String> missing, StateReply reply) {
        boolean added = false;
        for (ByteString blob : reply.getBlobsList()) {
            byte[] content = blob.toByteArray();
            String hash = ContentHash.of(content);
            if (missing.contains(hash)) {
                fetch.contents().put(hash, content);
                added = true;
            }
        }
        if (!added) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException(
                            "the reply has no content with a requested hash; contents missing: "
                                    + missing.size()));
        }
        return fetchMissing(fetch);
    }

    private void adopt(Fetch fetch) {
        if (fetch.manifest().version() <= heldVersion()) {
            return;
        }
        mAdopt.accept(
                new LoadedState(
                        StateCodec.decode(fetch.manifest(), fetch.contents()),
                        Map.copyOf(fetch.contents()),
                        fetch.revision()));
    }

    private void finish(String memberId, Throwable failure) {
        mFetching = false;
        if (failure != null) {
            Logger.warn(
                    "membership: cannot fetch the state from {}: {}; retrying after the next ping",
                    memberId,
                    failure);
        }
    }
}

package org.marigoldturn.membership;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import org.marigoldturn.peer.PeerNetwork;
import org.marigoldturn.peer.wire.Envelope;
import org.marigoldturn.peer.wire.StateReply;
import org.marigoldturn.settings.ContentHash;
import org.marigoldturn.settings.LoadedState;
import org.marigoldturn.settings.Manifest;
import org.marigoldturn.settings.StateCodec;
import org.marigoldturn.settings.VersionedState;

/** Tests the transfer of a state between two propagators without a network. */
class StatePropagatorTest {
    private final LoadedState mNewer = newer();
    private LoadedState mHeld = new LoadedState(VersionedState.INITIAL, Map.of(), 0);
    private boolean mCorrupt;
    private final StatePropagator mServer =
            new StatePropagator(null, () -> mNewer, state -> {}, Runnable::run);
    private final StatePropagator mClient =
            new StatePropagator(new Loopback(), () -> mHeld, state -> mHeld = state, Runnable::run);

    /**
     * Passes calls to the server; corrupts the contents in its replies if {@code mCorrupt} is set.
     */
    private final class Loopback implements PeerNetwork {
        @Override
        public void send(String memberId, Envelope.Builder message) {}

        @Override
        public CompletableFuture<Envelope> call(
                String memberId, Envelope.Builder message, long timeoutMillis) {
            Envelope.Builder reply = mServer.serve(message.getStateRequest());
            StateReply.Builder body = reply.getStateReplyBuilder();
            if (mCorrupt && body.getBlobsCount() > 0) {
                body.setBlobs(0, ByteString.copyFromUtf8("[]"));
            }
            return CompletableFuture.completedFuture(reply.build());
        }
    }

    private static LoadedState newer() {
        VersionedState state = VersionedState.INITIAL;
        Map<String, byte[]> contents = new HashMap<>();
        Map<String, String> entries = new HashMap<>();
        StateCodec.encode(state.settings(), state.members(), state.rights())
                .forEach(
                        (path, content) -> {
                            entries.put(path, ContentHash.of(content));
                            contents.put(ContentHash.of(content), content);
                        });
        Manifest manifest = new Manifest(5, "c5", "test", 0, entries);
        return new LoadedState(StateCodec.decode(manifest, contents), contents, 77);
    }

    @Example
    void fetchesTheManifestAndTheMissingContents() {
        mClient.onVersion("b", 5);

        assertThat(mHeld.state().manifest()).isEqualTo(mNewer.state().manifest());
        assertThat(mHeld.contents().keySet()).isEqualTo(mNewer.contents().keySet());
        assertThat(mHeld.manifestRevision()).isEqualTo(77);
    }

    /**
     * Guards against settings that differ from the committed ones, and against a fetch that is
     * never retried.
     */
    @Example
    void doesNotAdoptContentsWithAnotherHashAndTriesAgain() {
        mCorrupt = true;
        mClient.onVersion("b", 5);
        assertThat(mHeld.state().version()).isZero();

        mCorrupt = false;
        mClient.onVersion("b", 5);
        assertThat(mHeld.state().version()).isEqualTo(5);
    }
}

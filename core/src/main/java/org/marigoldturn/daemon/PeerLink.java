package org.marigoldturn.daemon;

import java.util.concurrent.CompletableFuture;
import org.marigoldturn.peer.PeerHandler;
import org.marigoldturn.peer.PeerNetwork;
import org.marigoldturn.peer.wire.Envelope;

/** Sends messages to members, including this daemon itself. Thread safe. */
final class PeerLink {
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private final String mSelfId;
    private final PeerNetwork mNetwork;
    private final PeerHandler mSelfHandler;

    PeerLink(String selfId, PeerNetwork network, PeerHandler selfHandler) {
        mSelfId = selfId;
        mNetwork = network;
        mSelfHandler = selfHandler;
    }

    String selfId() {
        return mSelfId;
    }

    void send(String memberId, Envelope.Builder message) {
        if (memberId.equals(mSelfId)) {
            var unused = mSelfHandler.onMessage(mSelfId, message.setSender(mSelfId).build());
        } else {
            mNetwork.send(memberId, message);
        }
    }

    CompletableFuture<Envelope> call(String memberId, Envelope.Builder message) {
        if (memberId.equals(mSelfId)) {
            return mSelfHandler
                    .onMessage(mSelfId, message.setSender(mSelfId).build())
                    .thenApply(Envelope.Builder::build);
        }
        return mNetwork.call(memberId, message, CALL_TIMEOUT_MILLIS);
    }
}

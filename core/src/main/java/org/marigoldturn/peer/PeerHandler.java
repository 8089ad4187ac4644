package org.marigoldturn.peer;

import java.util.concurrent.CompletableFuture;
import org.marigoldturn.peer.wire.Envelope;

/** Receives messages from other entry daemons; called on a transport thread, must not block. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles one message.
     *
     * @return the reply to a call, or a future of null if the message needs none
     */
    CompletableFuture<Envelope.Builder> onMessage(String sender, Envelope message);
}

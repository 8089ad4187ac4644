package org.marigoldturn.peer;

import java.util.concurrent.CompletableFuture;
import org.marigoldturn.peer.wire.Envelope;

/**
 * Sends messages to other entry daemons.
 *
 * <p>Thread safe; never blocks. Delivery is not guaranteed and messages may arrive late or in
 * another order after a reconnect; receivers must tolerate that.
 */
public interface PeerNetwork {
    /** Sends a message without reply; it is dropped if the member cannot be reached. */
    void send(String memberId, Envelope.Builder message);

    /**
     * Sends a message and returns its reply.
     *
     * @param timeoutMillis time after which the future fails with a {@link PeerException}
     */
    CompletableFuture<Envelope> call(String memberId, Envelope.Builder message, long timeoutMillis);
}

package org.marigoldturn.peer;

import java.util.concurrent.CompletableFuture;
import org.marigoldturn.peer.wire.Envelope;

/**
 * Sends messages to other entry daemons.
 *
 * <p>Thread safe; never blocks. Delivery is not guaranteed and after a reconnect messages may
 * arrive late or out of order; receivers must tolerate both.
 */
public interface PeerNetwork {
    /**
     * Sends a message that needs no reply; it is dropped if there is no connection, if the queue or
     * the write buffer is full, or if it exceeds the frame limit.
     */
    void send(String memberId, Envelope.Builder message);

    /**
     * Sends a message and returns its reply.
     *
     * @param timeoutMillis time after which the future fails with a {@link PeerException}
     */
    CompletableFuture<Envelope> call(String memberId, Envelope.Builder message, long timeoutMillis);
}

package org.marigoldturn.peer;

/**
 * A message was certainly not sent: there is no connection to the member, the message exceeds the
 * frame limit, or the write buffer is full.
 */
public final class PeerNotReachableException extends PeerException {
    private static final long serialVersionUID = 1L;

    public PeerNotReachableException(String message) {
        super(message, null);
    }
}

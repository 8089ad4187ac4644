package org.marigoldturn.peer;

/** A message was certainly not sent, because there is no connection to the member. */
public final class PeerNotReachableException extends PeerException {
    private static final long serialVersionUID = 1L;

    public PeerNotReachableException(String message) {
        super(message, null);
    }
}

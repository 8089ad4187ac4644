package org.marigoldturn.peer;

/** A message to another daemon failed, or no reply to it arrived in time. */
public class PeerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public PeerException(String message, Throwable cause) {
        super(message, cause);
    }
}

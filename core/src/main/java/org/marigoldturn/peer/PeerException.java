package org.marigoldturn.peer;

/** A message to another daemon failed or was not answered in time. */
public class PeerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public PeerException(String message, Throwable cause) {
        super(message, cause);
    }
}

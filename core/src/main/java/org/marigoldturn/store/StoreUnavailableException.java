package org.marigoldturn.store;

/** Thrown when the store cannot be reached; the request has certainly had no effect. */
public class StoreUnavailableException extends StoreException {
    private static final long serialVersionUID = 1L;

    public StoreUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}

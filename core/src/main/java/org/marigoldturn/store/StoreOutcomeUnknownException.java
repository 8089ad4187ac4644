package org.marigoldturn.store;

/** Thrown when a failed call may have taken effect, or may still do so. */
public class StoreOutcomeUnknownException extends StoreException {
    private static final long serialVersionUID = 1L;

    public StoreOutcomeUnknownException(String message, Throwable cause) {
        super(message, cause);
    }
}

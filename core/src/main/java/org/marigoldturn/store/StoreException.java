package org.marigoldturn.store;

/** Base of all failures of the key-value service. */
public class StoreException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}

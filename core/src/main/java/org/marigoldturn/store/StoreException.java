package org.marigoldturn.store;

/** Base class of the exceptions thrown for failed calls to a store. */
public class StoreException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}

package org.marigoldturn.store;

/** The service could not be reached; the request has certainly had no effect. */
public class StoreUnavailableException extends StoreException {
    private static final long serialVersionUID = 1L;

    public StoreUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}

package org.marigoldturn.store;

/** Thrown when a lease has expired, was revoked or never existed. */
public class LeaseExpiredException extends StoreException {
    private static final long serialVersionUID = 1L;

    public LeaseExpiredException(String message) {
        super(message, null);
    }
}

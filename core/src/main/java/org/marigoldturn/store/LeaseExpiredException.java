package org.marigoldturn.store;

/** The lease has ended or never existed. */
public class LeaseExpiredException extends StoreException {
    private static final long serialVersionUID = 1L;

    public LeaseExpiredException(String message) {
        super(message, null);
    }
}

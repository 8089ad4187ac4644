package org.marigoldturn.store;

/** Thrown when the store has dropped changes since a revision; the keys must be listed again. */
public class StoreHistoryLostException extends StoreException {
    private static final long serialVersionUID = 1L;

    public StoreHistoryLostException(String message, Throwable cause) {
        super(message, cause);
    }
}

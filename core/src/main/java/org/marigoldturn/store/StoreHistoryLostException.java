package org.marigoldturn.store;

/** The store no longer knows the changes since the requested revision; the keys must be re-read. */
public class StoreHistoryLostException extends StoreException {
    private static final long serialVersionUID = 1L;

    public StoreHistoryLostException(String message, Throwable cause) {
        super(message, cause);
    }
}

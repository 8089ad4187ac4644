package org.marigoldturn.store;

/** The platform's host list could not be read. */
public class HostDirectoryException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public HostDirectoryException(String message, Throwable cause) {
        super(message, cause);
    }
}

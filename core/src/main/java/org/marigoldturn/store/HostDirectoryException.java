package org.marigoldturn.store;

/** Thrown when the platform's host list cannot be read. */
public class HostDirectoryException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public HostDirectoryException(String message, Throwable cause) {
        super(message, cause);
    }
}

package org.marigoldturn.daemon;

/** The start configuration of a daemon is invalid. */
public class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public ConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}

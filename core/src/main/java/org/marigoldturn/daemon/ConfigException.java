package org.marigoldturn.daemon;

/** Thrown if the configuration of a daemon, or a file that it names, is invalid or unreadable. */
public class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public ConfigException(String message, Throwable cause) {
        super(message, cause);
    }
}

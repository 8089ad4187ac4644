package org.marigoldturn.settings;

/** Base of all failures of the settings layer. */
public class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public SettingsException(String message, Throwable cause) {
        super(message, cause);
    }
}

package org.marigoldturn.settings;

/** Base class of the exceptions thrown when settings cannot be read or committed. */
public class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public SettingsException(String message, Throwable cause) {
        super(message, cause);
    }
}

package org.marigoldturn.settings;

/**
 * Thrown when a change may have been committed; sending it again with the same change id returns
 * the outcome.
 */
public class ChangeOutcomeUnknownException extends SettingsException {
    private static final long serialVersionUID = 1L;

    public ChangeOutcomeUnknownException(String message, Throwable cause) {
        super(message, cause);
    }
}

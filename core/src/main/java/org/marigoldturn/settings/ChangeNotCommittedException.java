package org.marigoldturn.settings;

/**
 * Thrown when this attempt has certainly not committed the change, which may be sent again.
 *
 * <p>An earlier attempt with the same change id, whose outcome was unknown, may have committed it.
 */
public class ChangeNotCommittedException extends SettingsException {
    private static final long serialVersionUID = 1L;

    public ChangeNotCommittedException(String message, Throwable cause) {
        super(message, cause);
    }
}

package org.marigoldturn.settings;

/**
 * This attempt has certainly not committed the change; it may be sent again.
 *
 * <p>An earlier attempt with the same change id, whose outcome was unknown, may have committed it.
 */
public class ChangeNotCommittedException extends SettingsException {
    private static final long serialVersionUID = 1L;

    public ChangeNotCommittedException(String message, Throwable cause) {
        super(message, cause);
    }
}

package org.marigoldturn.settings;

/** The change has certainly not been committed; it may be sent again. */
public class ChangeNotCommittedException extends SettingsException {
    private static final long serialVersionUID = 1L;

    public ChangeNotCommittedException(String message, Throwable cause) {
        super(message, cause);
    }
}

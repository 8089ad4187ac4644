package org.marigoldturn.settings;

/**
 * An error in settings.
 *
 * @param path path of the invalid entry or field, such as {@code hosts/h1/port}
 * @param line line in the file, 0 if unknown
 * @param message expected and found value; secrets of keys are masked
 */
public record SettingsError(String path, int line, String message) {
    public SettingsError {
        path = KeySecrets.hide(path);
        message = KeySecrets.hide(message);
    }
}

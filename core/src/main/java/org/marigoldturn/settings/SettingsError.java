package org.marigoldturn.settings;

/**
 * An error in settings.
 *
 * @param path path of the invalid entry or field, such as {@code hosts/h1/port}
 * @param line line in the file, 0 if unknown
 * @param message expected and found value; long hexadecimal texts are hidden, as they may be
 *     secrets of keys
 */
public record SettingsError(String path, int line, String message) {
    public SettingsError {
        path = KeySecrets.hide(path);
        message = KeySecrets.hide(message);
    }
}

package org.marigoldturn.settings;

/**
 * One fault in settings.
 *
 * @param path path of the fault, such as {@code hosts/h1/port}
 * @param line line in the file, 0 if unknown
 * @param message found and expected value, without secrets of keys
 */
public record SettingsError(String path, int line, String message) {
    public SettingsError {
        path = KeySecrets.hide(path);
        message = KeySecrets.hide(message);
    }
}

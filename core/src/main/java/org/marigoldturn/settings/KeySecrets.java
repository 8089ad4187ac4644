package org.marigoldturn.settings;

import java.util.regex.Pattern;

/**
 * Masks possible secrets of keys in messages that repeat an operator's input. Stateless.
 *
 * <p>An operator may enter a key in place of another value; the error message must not repeat it.
 */
public final class KeySecrets {
    /** Number of hexadecimal digits of a secret, which has 256 bits. */
    private static final int DIGITS = 64;

    private static final Pattern SECRET = Pattern.compile("[0-9a-fA-F]{" + DIGITS + ",}");

    private KeySecrets() {}

    /** Replaces each sequence of hexadecimal digits that is at least as long as a secret. */
    public static String hide(String text) {
        return text == null ? null : SECRET.matcher(text).replaceAll("(hidden)");
    }
}

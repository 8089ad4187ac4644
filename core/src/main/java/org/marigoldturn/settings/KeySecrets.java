package org.marigoldturn.settings;

import java.util.regex.Pattern;

/**
 * Hides what may be the secret of a key in messages that repeat an operator's input. Stateless.
 *
 * <p>An operator may put a key where another value belongs; the answer must not repeat it.
 */
public final class KeySecrets {
    /** Number of hexadecimal digits of a secret, which has 256 bits. */
    private static final int DIGITS = 64;

    private static final Pattern SECRET = Pattern.compile("[0-9a-fA-F]{" + DIGITS + ",}");

    private KeySecrets() {}

    /** Returns the text without runs of digits that are as long as a secret. */
    public static String hide(String text) {
        return text == null ? null : SECRET.matcher(text).replaceAll("(hidden)");
    }
}

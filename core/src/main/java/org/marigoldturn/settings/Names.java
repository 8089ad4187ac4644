package org.marigoldturn.settings;

import java.util.regex.Pattern;

/** Checks names that appear in paths, log lines and metric names. */
final class Names {
    private static final Pattern VALID = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

    private Names() {}

    static boolean isValid(String name) {
        return name != null && VALID.matcher(name).matches();
    }

    static String pattern() {
        return VALID.pattern();
    }

    static void require(String kind, String name) {
        if (!isValid(name)) {
            throw new IllegalArgumentException(
                    kind + " name \"" + name + "\" must match " + VALID.pattern());
        }
    }
}

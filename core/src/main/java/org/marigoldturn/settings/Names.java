package org.marigoldturn.settings;

import java.util.regex.Pattern;

/** Checks names that appear in paths, log lines and metric names. */
final class Names {
    private static final Pattern VALID = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

    private Names() {}

    static void require(String kind, String name) {
        if (name == null || !VALID.matcher(name).matches()) {
            throw new IllegalArgumentException(
                    kind + " name \"" + name + "\" must match " + VALID.pattern());
        }
    }
}

package org.marigoldturn.settings;

import java.util.Map;
import java.util.TreeMap;

/**
 * Lists the content of one version of the settings by path and hash.
 *
 * @param version version number; each change increments it
 * @param changeId unique id of the change that produced the version
 * @param author operator or daemon that made the change
 * @param committedAtMillis wall-clock time of the commit at the committing daemon
 * @param entries SHA-256 in hexadecimal of the content, by path
 */
public record Manifest(
        long version,
        String changeId,
        String author,
        long committedAtMillis,
        Map<String, String> entries) {
    /** The manifest before the first change. */
    public static final Manifest INITIAL = new Manifest(0, "none", "none", 0, Map.of());

    public Manifest {
        entries = java.util.Collections.unmodifiableMap(new TreeMap<>(entries));
    }
}

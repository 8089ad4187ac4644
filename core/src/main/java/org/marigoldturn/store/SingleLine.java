package org.marigoldturn.store;

/** Shortens texts of other writers so that they fit into one log line. Stateless. */
final class SingleLine {
    private static final int MAX_CHARS = 200;

    private SingleLine() {}

    /** Returns the beginning of a text, with each control character replaced by a space. */
    static String of(String text) {
        String start = text.length() <= MAX_CHARS ? text : text.substring(0, MAX_CHARS) + "...";
        return start.replaceAll("\\p{Cntrl}", " ");
    }
}

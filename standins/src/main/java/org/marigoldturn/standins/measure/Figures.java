package org.marigoldturn.standins.measure;

import java.io.PrintStream;
import java.util.Locale;

/** Prints figures as lines {@code name value unit}. Not thread safe. */
final class Figures {
    private final String mPrefix;
    private final PrintStream mOut;

    Figures(String prefix, PrintStream out) {
        mPrefix = prefix;
        mOut = out;
    }

    void print(String name, double value, String unit) {
        mOut.printf(Locale.ROOT, "%s.%s %.3f %s%n", mPrefix, name, value, unit);
        mOut.flush();
    }
}

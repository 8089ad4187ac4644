package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start in milliseconds. */
final class Record {
    private final PrintWriter mOut;
    private final long mStart = System.nanoTime();

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void add(String kind, String text, Object... arguments) {
        mOut.printf("%8d %-7s %s%n", (System.nanoTime() - mStart) / 1_000_000, kind,
                text.formatted(arguments));
    }
}

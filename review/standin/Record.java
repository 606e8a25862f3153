package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the record of a case, with milliseconds since the start of the case. */
final class Record {

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path folder) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    void add(String format, Object... args) {
        addAt(millis(), format, args);
    }

    synchronized void addAt(long millis, String format, Object... args) {
        out.printf("%6d ", millis);
        out.printf(format, args);
        out.println();
    }

    /** Adds a line to the record and to standard output. */
    void note(String format, Object... args) {
        String text = String.format(format, args);
        add("%s", text);
        System.out.printf("%6d %s%n", millis(), text);
    }

    synchronized void flush() {
        out.flush();
    }
}

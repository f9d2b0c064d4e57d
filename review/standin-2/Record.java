package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the ms since the start. */
public final class Record {

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    public Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    public long ms() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    public synchronized void line(String text) {
        out.printf("%7d %s%n", ms(), text);
    }
}

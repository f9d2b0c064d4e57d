package org.cornelcrank.cli.console;

import java.io.PrintStream;
import java.util.Objects;

/**
 * Writes results to the standard output, and progress and errors to the standard error stream.
 *
 * <p>Not thread-safe.
 */
public final class Console {

    private static final String CLEAR_LINE = "\r\u001b[K";

    private final PrintStream out;
    private final PrintStream err;
    private final boolean terminal;
    private boolean progressShown;

    public Console(PrintStream out, PrintStream err, boolean terminal) {
        this.out = Objects.requireNonNull(out, "out must not be null");
        this.err = Objects.requireNonNull(err, "err must not be null");
        this.terminal = terminal;
    }

    public PrintStream out() {
        return out;
    }

    public void line(String text) {
        clearProgress();
        out.println(text);
    }

    public void error(String text) {
        clearProgress();
        err.println(text);
    }

    /** Replaces the progress line; writes nothing if the output is not a terminal. */
    public void progress(String text) {
        if (terminal) {
            err.print(CLEAR_LINE + text);
            err.flush();
            progressShown = true;
        }
    }

    private void clearProgress() {
        if (progressShown) {
            err.print(CLEAR_LINE);
            err.flush();
            progressShown = false;
        }
    }
}

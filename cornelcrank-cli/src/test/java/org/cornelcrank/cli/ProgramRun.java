package org.cornelcrank.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.cornelcrank.cli.console.Console;

/** A run of the program within the test process, with its output. Immutable, thus thread-safe. */
record ProgramRun(int exitCode, String out, String err) {

    static ProgramRun of(String... words) {
        return of(Map.of(), words);
    }

    static ProgramRun of(Map<String, String> environment, String... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        Console console = new Console(
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                false);
        int exitCode = new CommandLineProgram(CornelcrankCli.commands(), environment, console).run(words);
        return new ProgramRun(exitCode, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    /** Returns the command line with its output and exit code, for comparison with an approved file. */
    static String transcript(String... words) {
        ProgramRun run = of(words);
        return "$ cornelcrank " + String.join(" ", words) + "\n" + run.out() + run.err() + "exit code " + run.exitCode()
                + "\n\n";
    }
}

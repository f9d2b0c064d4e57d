package org.cornelcrank.cli;

import java.util.List;

import org.apache.commons.cli.Options;
import org.cornelcrank.cli.client.CommandFailure;
import org.cornelcrank.cli.client.ExitCode;

/** A command of the program. Implementations are stateless, thus thread-safe. */
interface Command {

    /** Returns the words that select the command, for example {@code config get}. */
    String name();

    /** Returns a one-line description for the help text. */
    String summary();

    /**
     * Returns the positional arguments as shown in the help text, for example {@code PATH VALUE}; optional arguments
     * are in brackets.
     */
    default String arguments() {
        return "";
    }

    /** Returns the options that the command accepts in addition to the global ones. */
    default Options options() {
        return new Options();
    }

    /** Returns valid example command lines, without the program name. */
    List<String> examples();

    /**
     * Runs the command.
     *
     * @throws CommandFailure if the daemon refuses the command or it fails
     */
    ExitCode run(Invocation invocation);
}

package org.cornelcrank.cli;

import java.util.List;

import org.apache.commons.cli.Options;
import org.cornelcrank.cli.client.CommandFailure;
import org.cornelcrank.cli.client.ExitCode;

/** One command of the program. Implementations are stateless, thus thread-safe. */
interface Command {

    /** Returns the words that call the command, as in {@code config get}. */
    String name();

    /** Returns what the command does, in one line. */
    String summary();

    /** Returns the positional arguments as help shows them, as in {@code PATH VALUE}; optional ones in brackets. */
    default String arguments() {
        return "";
    }

    /** Returns the options beside the global ones. */
    default Options options() {
        return new Options();
    }

    /** Returns command lines that work, without the program's name. */
    List<String> examples();

    /**
     * Runs the command.
     *
     * @throws CommandFailure if the command is refused or fails
     */
    ExitCode run(Invocation invocation);
}

package org.cornelcrank.cli;

import java.util.Objects;

/** Ends a command with an exit code and a message of one line for people. */
final class CommandFailure extends RuntimeException {

    private final ExitCode exitCode;

    CommandFailure(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = Objects.requireNonNull(exitCode, "exitCode must not be null");
    }

    ExitCode exitCode() {
        return exitCode;
    }
}

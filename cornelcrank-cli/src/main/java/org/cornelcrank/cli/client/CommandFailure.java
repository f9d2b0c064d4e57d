package org.cornelcrank.cli.client;

import java.util.Objects;

/** Terminates a command with an exit code and a one-line message for the user. */
public final class CommandFailure extends RuntimeException {

    private final ExitCode exitCode;

    public CommandFailure(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = Objects.requireNonNull(exitCode, "exitCode must not be null");
    }

    public ExitCode exitCode() {
        return exitCode;
    }
}

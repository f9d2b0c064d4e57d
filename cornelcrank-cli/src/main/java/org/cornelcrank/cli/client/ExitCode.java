package org.cornelcrank.cli.client;

/** The exit codes of the program. */
public enum ExitCode {
    OK(0, "success"),
    FAILED(1, "refused or failed"),
    USAGE(2, "invalid command, option or argument"),
    UNREACHABLE(3, "no daemon responds at the URL"),
    CONFLICT(4, "a version or an idempotency key conflicts"),
    DENIED(5, "the key is missing, unknown or not allowed to do this"),
    NOT_FOUND(6, "no such setting, job or file"),
    UNAVAILABLE(7, "temporarily refused, not run; a retry may succeed");

    private final int number;
    private final String meaning;

    ExitCode(int number, String meaning) {
        this.number = number;
        this.meaning = meaning;
    }

    public int number() {
        return number;
    }

    public String meaning() {
        return meaning;
    }

    /** Returns the exit code for an HTTP error status. */
    public static ExitCode ofStatus(int status) {
        return switch (status) {
            case 401, 403 -> DENIED;
            case 404 -> NOT_FOUND;
            case 409 -> CONFLICT;
            case 429, 503 -> UNAVAILABLE;
            default -> FAILED;
        };
    }
}

package org.cornelcrank.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;
import org.cornelcrank.cli.client.CommandFailure;
import org.cornelcrank.cli.client.DaemonClient;
import org.cornelcrank.cli.client.ExitCode;
import org.cornelcrank.cli.console.Console;
import org.cornelcrank.cli.console.JsonTables;

/** The parsed words of one start of the program. Immutable, thus thread-safe. */
record Invocation(CommandLine line, Map<String, String> environment, Console console) {

    static final String URL_VARIABLE = "CORNELCRANK_URL";
    static final String KEY_VARIABLE = "CORNELCRANK_KEY";
    static final String DEFAULT_URL = "http://127.0.0.1:8080";

    Invocation {
        Objects.requireNonNull(line, "line must not be null");
        Objects.requireNonNull(console, "console must not be null");
        environment = Map.copyOf(environment);
    }

    List<String> arguments() {
        return line.getArgList();
    }

    /** Returns a positional argument that must be there. */
    String argument(int index, String name) {
        if (index >= arguments().size()) {
            throw new CommandFailure(ExitCode.USAGE, "missing argument " + name);
        }
        return arguments().get(index);
    }

    /** Returns a positional argument, or the default where it is missing. */
    String argumentOr(int index, String defaultValue) {
        return index < arguments().size() ? arguments().get(index) : defaultValue;
    }

    boolean has(String option) {
        return line.hasOption(option);
    }

    String option(String option, String defaultValue) {
        return line.getOptionValue(option, defaultValue);
    }

    /** Returns a whole number within bounds. */
    long number(String option, long defaultValue, long least, long most) {
        String text = line.getOptionValue(option);
        if (text == null) {
            return defaultValue;
        }
        try {
            long value = Long.parseLong(text);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below together with numbers out of bounds.
        }
        throw new CommandFailure(
                ExitCode.USAGE,
                "--" + option + " must be a whole number from " + least + " to " + most + " but was '" + text + "'");
    }

    /** Returns one of the allowed words. */
    String choice(String option, String defaultValue, List<String> allowed) {
        return requireAllowed("--" + option, option(option, defaultValue), allowed);
    }

    static String requireAllowed(String name, String value, List<String> allowed) {
        if (!allowed.contains(value)) {
            throw new CommandFailure(
                    ExitCode.USAGE,
                    name + " must be one of " + String.join(", ", allowed) + " but was '" + value + "'");
        }
        return value;
    }

    /** Returns a file that must be readable. */
    static Path readableFile(String name) {
        Path file = Path.of(name);
        if (!Files.isRegularFile(file) || !Files.isReadable(file)) {
            throw new CommandFailure(ExitCode.USAGE, "no readable file: " + name);
        }
        return file;
    }

    boolean json() {
        return has("json");
    }

    /** Writes an answer as JSON for programs, or as tables for people. */
    void show(JsonNode answer) {
        if (json()) {
            JsonTables.printJson(answer, console);
        } else {
            JsonTables.print(answer, console);
        }
    }

    /** Returns a client of the daemon that the options or the environment name. */
    DaemonClient daemon() {
        String url = option("url", environment.getOrDefault(URL_VARIABLE, DEFAULT_URL));
        return new DaemonClient(url, option("key", environment.getOrDefault(KEY_VARIABLE, "")));
    }
}

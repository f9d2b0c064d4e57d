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

/** The parsed command line, environment and console of one run of the program. Immutable, thus thread-safe. */
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

    /** Returns a required positional argument. */
    String argument(int index, String name) {
        if (index >= arguments().size()) {
            throw new CommandFailure(ExitCode.USAGE, "missing argument " + name);
        }
        return arguments().get(index);
    }

    /** Returns a positional argument, or the default if it is missing. */
    String argumentOr(int index, String defaultValue) {
        return index < arguments().size() ? arguments().get(index) : defaultValue;
    }

    boolean has(String option) {
        return line.hasOption(option);
    }

    String option(String option, String defaultValue) {
        return line.getOptionValue(option, defaultValue);
    }

    /** Returns the value of a numeric option, which must be a whole number within the bounds. */
    long number(String option, long defaultValue, long min, long max) {
        String text = line.getOptionValue(option);
        if (text == null) {
            return defaultValue;
        }
        try {
            long value = Long.parseLong(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below together with numbers that are out of bounds.
        }
        throw new CommandFailure(
                ExitCode.USAGE,
                "--" + option + " must be a whole number from " + min + " to " + max + " but was '" + text + "'");
    }

    /** Returns the value of an option that must be one of the allowed words. */
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

    /** Returns the path of an existing, readable file. */
    static Path readableFile(String name) {
        Path file = Path.of(name);
        if (!Files.isRegularFile(file) || !Files.isReadable(file)) {
            throw new CommandFailure(ExitCode.USAGE, "file does not exist or is not readable: " + name);
        }
        return file;
    }

    boolean json() {
        return has("json");
    }

    /** Writes a response as JSON with the option {@code --json}, otherwise as tables. */
    void show(JsonNode response) {
        if (json()) {
            JsonTables.printJson(response, console);
        } else {
            JsonTables.print(response, console);
        }
    }

    /** Returns a client of the daemon given by the options or the environment. */
    DaemonClient daemon() {
        String url = option("url", environment.getOrDefault(URL_VARIABLE, DEFAULT_URL));
        return new DaemonClient(url, option("key", environment.getOrDefault(KEY_VARIABLE, "")));
    }
}

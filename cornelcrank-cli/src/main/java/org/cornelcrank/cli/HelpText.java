package org.cornelcrank.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cornelcrank.cli.client.ExitCode;
import org.cornelcrank.cli.console.Console;

/**
 * Writes the help text of the program, a group of commands or a single command.
 *
 * <p>Immutable, thus thread-safe.
 */
final class HelpText {

    private static final String PROGRAM = "cornelcrank";

    private final List<Command> commands;
    private final Options globalOptions;

    HelpText(List<Command> commands, Options globalOptions) {
        this.commands = List.copyOf(commands);
        this.globalOptions = Objects.requireNonNull(globalOptions, "globalOptions must not be null");
    }

    /** Writes the help text of the command or group with the given name, or of the program if the name is empty. */
    void write(String name, Console console) {
        List<Command> exact =
                commands.stream().filter(command -> command.name().equals(name)).toList();
        if (!exact.isEmpty()) {
            writeCommand(exact.get(0), console);
            return;
        }
        writeCommands(name, console);
    }

    String names(Predicate<String> filter) {
        return commands.stream().map(Command::name).filter(filter).collect(Collectors.joining(", "));
    }

    static String usage(Command command) {
        String arguments = command.arguments().isEmpty() ? "" : " " + command.arguments();
        return PROGRAM + " " + command.name() + arguments + " [options]";
    }

    static String optionNames(Options options) {
        return options.getOptions().stream()
                .map(option -> "--" + option.getLongOpt())
                .collect(Collectors.joining(", "));
    }

    private void writeCommand(Command command, Console console) {
        console.line("usage: " + usage(command));
        console.line("");
        console.line(command.summary());
        if (!command.options().getOptions().isEmpty()) {
            writeOptions("options:", command.options(), console);
        }
        writeOptions("global options:", globalOptions, console);
        console.line("");
        console.line("examples:");
        command.examples().forEach(example -> console.line("  " + PROGRAM + " " + example));
    }

    private void writeCommands(String group, Console console) {
        String prefix = group.isEmpty() ? "" : group + " ";
        console.line("usage: " + PROGRAM + " " + prefix + "COMMAND [options]");
        console.line("");
        console.line("commands:");
        List<List<String>> rows = new ArrayList<>();
        for (Command command : commands) {
            if (command.name().startsWith(prefix)) {
                rows.add(List.of("  " + command.name() + " " + command.arguments(), command.summary()));
            }
        }
        writeAligned(rows, console);
        writeOptions("global options:", globalOptions, console);
        if (group.isEmpty()) {
            writeExitCodes(console);
        }
    }

    private static void writeExitCodes(Console console) {
        console.line("");
        console.line("exit codes:");
        for (ExitCode code : ExitCode.values()) {
            console.line("  " + code.number() + "  " + code.meaning());
        }
        console.line("");
        console.line("'" + PROGRAM + " COMMAND --help' shows a command's options and examples.");
    }

    private static void writeOptions(String heading, Options options, Console console) {
        console.line("");
        console.line(heading);
        List<List<String>> rows = new ArrayList<>();
        for (Option option : options.getOptions()) {
            String value = option.hasArg() ? " " + option.getArgName() : "";
            rows.add(List.of("  --" + option.getLongOpt() + value, option.getDescription()));
        }
        writeAligned(rows, console);
    }

    private static void writeAligned(List<List<String>> rows, Console console) {
        int width = rows.stream().mapToInt(row -> row.get(0).length()).max().orElse(0);
        rows.forEach(row -> console.line(
                (row.get(0) + " ".repeat(width - row.get(0).length()) + "  " + row.get(1)).stripTrailing()));
    }
}

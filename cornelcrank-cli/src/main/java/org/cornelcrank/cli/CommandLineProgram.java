package org.cornelcrank.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.MissingArgumentException;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.UnrecognizedOptionException;
import org.cornelcrank.cli.client.CommandFailure;
import org.cornelcrank.cli.client.ExitCode;
import org.cornelcrank.cli.console.Console;

/**
 * Selects the command named on the command line, parses its options and runs it.
 *
 * <p>Immutable, but not thread-safe because of the console.
 */
final class CommandLineProgram {

    private final List<Command> commands;
    private final Map<String, String> environment;
    private final Console console;
    private final HelpText help;

    CommandLineProgram(List<Command> commands, Map<String, String> environment, Console console) {
        this.commands = List.copyOf(commands);
        this.environment = Map.copyOf(environment);
        this.console = Objects.requireNonNull(console, "console must not be null");
        this.help = new HelpText(this.commands, globalOptions());
    }

    /** Runs the command line and returns the exit code of the process. */
    int run(String... words) {
        try {
            return dispatch(List.of(words)).number();
        } catch (CommandFailure e) {
            console.error("cornelcrank: " + e.getMessage());
            return e.exitCode().number();
        }
    }

    static Options globalOptions() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt("url")
                        .hasArg()
                        .argName("URL")
                        .desc("base URL of a daemon; or set " + Invocation.URL_VARIABLE + "; default "
                                + Invocation.DEFAULT_URL)
                        .get())
                .addOption(Option.builder()
                        .longOpt("key")
                        .hasArg()
                        .argName("ID.SECRET")
                        .desc("API key; or set " + Invocation.KEY_VARIABLE)
                        .get())
                .addOption(Option.builder()
                        .longOpt("json")
                        .desc("write JSON output")
                        .get())
                .addOption(Option.builder()
                        .longOpt("help")
                        .desc("show help and examples")
                        .get());
    }

    private ExitCode dispatch(List<String> words) {
        CommandLine globalLine = parse(globalOptions(), words, true, "");
        List<String> remaining = globalLine.getArgList();
        if (remaining.isEmpty()) {
            return showHelp("");
        }
        if (remaining.get(0).startsWith("-")) {
            throw unknownOption(remaining.get(0), globalOptions(), "");
        }
        Optional<Command> found = find(remaining);
        if (found.isEmpty()) {
            return groupHelpOrFailure(globalLine, remaining);
        }
        Command command = found.get();
        if (globalLine.hasOption("help")) {
            return showHelp(command.name());
        }
        List<String> commandWords = new ArrayList<>(words.subList(0, words.size() - remaining.size()));
        commandWords.addAll(remaining.subList(command.name().split(" ").length, remaining.size()));
        Options options = command.options();
        globalOptions().getOptions().forEach(options::addOption);
        CommandLine line = parse(options, commandWords, false, command.name());
        if (line.hasOption("help")) {
            return showHelp(command.name());
        }
        requireArgumentCount(command, line.getArgList());
        return command.run(new Invocation(line, environment, console));
    }

    private ExitCode groupHelpOrFailure(CommandLine globalLine, List<String> remaining) {
        String word = remaining.get(0);
        boolean isGroup = commands.stream().anyMatch(command -> command.name().startsWith(word + " "));
        boolean helpRequested = globalLine.hasOption("help") || remaining.contains("--help");
        if (isGroup && (remaining.size() == 1 || helpRequested) || word.equals("help")) {
            return showHelp(isGroup ? word : "");
        }
        String allowed = isGroup ? help.names(name -> name.startsWith(word + " ")) : help.names(name -> true);
        throw new CommandFailure(
                ExitCode.USAGE,
                "unknown command '" + String.join(" ", remaining.subList(0, isGroup ? 2 : 1)) + "'; allowed are "
                        + allowed);
    }

    private Optional<Command> find(List<String> words) {
        return commands.stream()
                .filter(command -> startsWith(words, List.of(command.name().split(" "))))
                .findFirst();
    }

    private static boolean startsWith(List<String> words, List<String> name) {
        return words.size() >= name.size() && words.subList(0, name.size()).equals(name);
    }

    private ExitCode showHelp(String name) {
        help.write(name, console);
        return ExitCode.OK;
    }

    private static CommandLine parse(Options options, List<String> words, boolean stopAtCommand, String command) {
        try {
            return DefaultParser.builder()
                    .setAllowPartialMatching(false)
                    .get()
                    .parse(options, words.toArray(String[]::new), stopAtCommand);
        } catch (UnrecognizedOptionException e) {
            throw unknownOption(e.getOption(), options, command);
        } catch (MissingArgumentException e) {
            Option option = e.getOption();
            throw new CommandFailure(
                    ExitCode.USAGE, "--" + option.getLongOpt() + " requires a value: " + option.getArgName());
        } catch (ParseException e) {
            throw new CommandFailure(ExitCode.USAGE, e.getMessage());
        }
    }

    private static CommandFailure unknownOption(String option, Options allowed, String command) {
        return new CommandFailure(
                ExitCode.USAGE,
                "unknown option " + option + (command.isEmpty() ? "" : " of '" + command + "'") + "; allowed are "
                        + HelpText.optionNames(allowed));
    }

    private static void requireArgumentCount(Command command, List<String> arguments) {
        List<String> names = command.arguments().isEmpty()
                ? List.of()
                : List.of(command.arguments().split(" "));
        if (arguments.size() > names.size()) {
            throw new CommandFailure(
                    ExitCode.USAGE,
                    "unexpected argument '" + arguments.get(names.size()) + "'; usage: " + HelpText.usage(command));
        }
        if (arguments.size() < names.size() && !names.get(arguments.size()).startsWith("[")) {
            throw new CommandFailure(
                    ExitCode.USAGE,
                    "missing argument " + names.get(arguments.size()) + "; usage: " + HelpText.usage(command));
        }
    }
}

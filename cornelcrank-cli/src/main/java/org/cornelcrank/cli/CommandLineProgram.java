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
 * Finds the command that the words name, parses its options and runs it.
 *
 * <p>Thread-safe as far as the console is used by one thread.
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

    /** Runs the program and returns its exit code. */
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
                        .desc("a daemon; or " + Invocation.URL_VARIABLE + "; default " + Invocation.DEFAULT_URL)
                        .get())
                .addOption(Option.builder()
                        .longOpt("key")
                        .hasArg()
                        .argName("ID.SECRET")
                        .desc("the API key; or " + Invocation.KEY_VARIABLE)
                        .get())
                .addOption(Option.builder()
                        .longOpt("json")
                        .desc("write JSON for programs")
                        .get())
                .addOption(Option.builder()
                        .longOpt("help")
                        .desc("show help and examples")
                        .get());
    }

    private ExitCode dispatch(List<String> words) {
        CommandLine leading = parse(globalOptions(), words, true, "");
        List<String> rest = leading.getArgList();
        if (rest.isEmpty()) {
            return showHelp("");
        }
        if (rest.get(0).startsWith("-")) {
            throw unknownOption(rest.get(0), globalOptions(), "");
        }
        Optional<Command> named = find(rest);
        if (named.isEmpty()) {
            return groupHelpOrFailure(leading, rest);
        }
        Command command = named.get();
        if (leading.hasOption("help")) {
            return showHelp(command.name());
        }
        List<String> own = new ArrayList<>(words.subList(0, words.size() - rest.size()));
        own.addAll(rest.subList(command.name().split(" ").length, rest.size()));
        Options options = command.options();
        globalOptions().getOptions().forEach(options::addOption);
        CommandLine line = parse(options, own, false, command.name());
        if (line.hasOption("help")) {
            return showHelp(command.name());
        }
        requireArgumentCount(command, line.getArgList());
        return command.run(new Invocation(line, environment, console));
    }

    private ExitCode groupHelpOrFailure(CommandLine leading, List<String> rest) {
        String word = rest.get(0);
        boolean group = commands.stream().anyMatch(command -> command.name().startsWith(word + " "));
        boolean asksHelp = leading.hasOption("help") || rest.contains("--help");
        if (group && (rest.size() == 1 || asksHelp) || word.equals("help")) {
            return showHelp(group ? word : "");
        }
        String allowed = group ? help.names(name -> name.startsWith(word + " ")) : help.names(name -> true);
        throw new CommandFailure(
                ExitCode.USAGE,
                "unknown command '" + String.join(" ", rest.subList(0, group ? 2 : 1)) + "'; allowed are " + allowed);
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
                    ExitCode.USAGE, "--" + option.getLongOpt() + " needs a value: " + option.getArgName());
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

    private static void requireArgumentCount(Command command, List<String> given) {
        List<String> names = command.arguments().isEmpty()
                ? List.of()
                : List.of(command.arguments().split(" "));
        if (given.size() > names.size()) {
            throw new CommandFailure(
                    ExitCode.USAGE,
                    "unexpected argument '" + given.get(names.size()) + "'; usage: " + HelpText.usage(command));
        }
        if (given.size() < names.size() && !names.get(given.size()).startsWith("[")) {
            throw new CommandFailure(
                    ExitCode.USAGE,
                    "missing argument " + names.get(given.size()) + "; usage: " + HelpText.usage(command));
        }
    }
}

package org.cornelcrank.server.settings;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Parses the declared settings of a program from its flags and environment variables, and renders its help.
 *
 * <p>Immutable, thus thread-safe.
 */
final class CommandLineSettings {

    private static final int HELP_WIDTH = 110;

    private final String program;
    private final String description;
    private final List<ProcessSetting> declared;

    CommandLineSettings(String program, String description, List<ProcessSetting> declared) {
        this.program = program;
        this.description = description;
        this.declared = List.copyOf(declared);
    }

    <S> SettingsResult<S> parse(String[] args, Map<String, String> environment, Function<SettingReader, S> read) {
        List<String> errors = new ArrayList<>();
        CommandLine line;
        try {
            line = DefaultParser.builder()
                    .setAllowPartialMatching(false)
                    .build()
                    .parse(options(), args);
        } catch (ParseException e) {
            return new SettingsResult.Invalid<>(List.of(e.getMessage()));
        }
        if (line.hasOption("help")) {
            return new SettingsResult.HelpRequested<>(help());
        }
        line.getArgList().forEach(argument -> errors.add("unexpected argument '" + argument + "'"));
        S settings = read.apply(new SettingReader(declared, line::getOptionValue, environment, errors));
        return errors.isEmpty() ? new SettingsResult.Valid<>(settings) : new SettingsResult.Invalid<>(errors);
    }

    private Options options() {
        Options options = new Options();
        options.addOption(
                Option.builder("h").longOpt("help").desc("show this help").build());
        for (ProcessSetting setting : declared) {
            options.addOption(Option.builder()
                    .longOpt(setting.flag())
                    .hasArg()
                    .argName(setting.argument())
                    .desc(description(setting))
                    .build());
        }
        return options;
    }

    private static String description(ProcessSetting setting) {
        String suffix = setting.required() ? "; required" : "";
        if (!setting.defaultValue().isEmpty()) {
            suffix = "; default " + setting.defaultValue();
        }
        return setting.description() + suffix + " [" + setting.environmentVariable() + "]";
    }

    private String help() {
        StringWriter text = new StringWriter();
        HelpFormatter formatter = new HelpFormatter();
        formatter.setOptionComparator(null);
        formatter.printHelp(
                new PrintWriter(text, true),
                HELP_WIDTH,
                program,
                description + " Each flag can also be set by the environment variable in brackets.",
                options(),
                2,
                2,
                "Exit codes: 0 stopped on request, 1 could not start, 2 invalid settings, 3 out of memory.",
                true);
        return text.toString();
    }
}

package org.cornelcrank.cli;

import org.apache.commons.cli.Option;

/**
 * Factory methods for options with long names.
 *
 * <p>Stateless, thus thread-safe.
 */
final class CommandOptions {

    private CommandOptions() {}

    static Option valued(String name, String valueName, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(valueName)
                .desc(description)
                .get();
    }

    static Option flag(String name, String description) {
        return Option.builder().longOpt(name).desc(description).get();
    }
}

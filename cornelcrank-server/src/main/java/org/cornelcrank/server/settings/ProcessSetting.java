package org.cornelcrank.server.settings;

import java.util.Locale;

/**
 * Declares one setting of the process: its flag, its environment variable, its default and its description.
 *
 * <p>An empty {@code defaultValue} means that there is no default. Immutable, thus thread-safe.
 */
public record ProcessSetting(String flag, String argument, String defaultValue, boolean required, String description) {

    private static final String ENVIRONMENT_PREFIX = "CORNELCRANK_";

    /** Returns the environment variable that is read if the flag is not given. */
    public String environmentVariable() {
        return ENVIRONMENT_PREFIX + flag.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    /** Declares a required setting. */
    static ProcessSetting required(String flag, String argument, String description) {
        return new ProcessSetting(flag, argument, "", true, description);
    }

    /** Declares an optional setting. */
    static ProcessSetting optional(String flag, String argument, String defaultValue, String description) {
        return new ProcessSetting(flag, argument, defaultValue, false, description);
    }
}

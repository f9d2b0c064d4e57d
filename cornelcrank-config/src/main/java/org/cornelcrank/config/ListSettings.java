package org.cornelcrank.config;

import java.util.Objects;

import org.cornelcrank.core.CallerCommand;

/**
 * Lists the settings at a path and below it; the reply is a {@link SettingList} in the order of the paths.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ListSettings(String prefix) implements CallerCommand {

    public ListSettings {
        Objects.requireNonNull(prefix, "prefix must not be null");
    }
}

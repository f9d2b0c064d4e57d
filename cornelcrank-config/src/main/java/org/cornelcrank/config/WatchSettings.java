package org.cornelcrank.config;

import java.util.Objects;

import org.cornelcrank.core.CallerCommand;

/**
 * Waits for changes after a version, at a path and below it; the reply is a {@link SettingList} of the changed entries,
 * deleted ones included, or an empty one after {@code waitMs}.
 *
 * <p>Immutable, thus thread-safe.
 */
public record WatchSettings(String prefix, long fromVersion, long waitMs) implements CallerCommand {

    public WatchSettings {
        Objects.requireNonNull(prefix, "prefix must not be null");
    }
}

package org.cornelcrank.config;

import java.util.Objects;

import org.cornelcrank.core.CallerCommand;

/**
 * Waits for changes at a path and below it after a version; answered by a {@link SettingList} of the changed entries,
 * deleted ones included, or of none after {@code waitMs}.
 *
 * <p>Immutable, thus thread-safe.
 */
public record WatchSettings(String prefix, long fromVersion, long waitMs) implements CallerCommand {

    public WatchSettings {
        Objects.requireNonNull(prefix, "prefix must not be null");
    }
}

package org.cornelcrank.config;

import java.util.Objects;

import org.cornelcrank.core.CallerCommand;

/**
 * Reads one setting; the reply is a {@link SettingList} of one entry, or a refusal if the path is not set.
 *
 * <p>Immutable, thus thread-safe.
 */
public record ReadSetting(String path) implements CallerCommand {

    public ReadSetting {
        Objects.requireNonNull(path, "path must not be null");
    }
}

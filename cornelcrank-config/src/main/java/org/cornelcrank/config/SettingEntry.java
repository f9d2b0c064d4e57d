package org.cornelcrank.config;

import java.util.Objects;
import java.util.Optional;

/**
 * A setting with the version of its last change; an empty {@code value} means that it was deleted.
 *
 * <p>Invariant: {@code version} is the offset of the change in the log plus 1, so that 0 means never set. Immutable,
 * thus thread-safe.
 */
public record SettingEntry(String path, Optional<String> value, long version) {

    public SettingEntry {
        Objects.requireNonNull(path, "path must not be null");
        Objects.requireNonNull(value, "value must not be null");
    }
}

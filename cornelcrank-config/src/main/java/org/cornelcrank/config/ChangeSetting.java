package org.cornelcrank.config;

import java.util.Objects;
import java.util.Optional;

import org.cornelcrank.core.CallerCommand;

/**
 * Sets or deletes one setting; the reply is a {@link SettingChangedReply} once the change was read back from the log.
 *
 * <p>An {@code expectedVersion} of 0 means a path that has never been set; if it is absent, the daemon's current
 * version of the path is expected. An empty {@code value} deletes. Only operators may send it. Immutable, thus
 * thread-safe.
 */
public record ChangeSetting(String path, Optional<Long> expectedVersion, Optional<String> value)
        implements CallerCommand {

    public ChangeSetting {
        Objects.requireNonNull(path, "path must not be null");
        Objects.requireNonNull(expectedVersion, "expectedVersion must not be null");
        Objects.requireNonNull(value, "value must not be null");
    }
}

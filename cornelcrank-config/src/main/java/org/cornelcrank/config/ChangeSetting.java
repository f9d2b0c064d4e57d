package org.cornelcrank.config;

import java.util.Objects;
import java.util.Optional;

import org.cornelcrank.core.CallerCommand;

/**
 * Asks to set or delete one setting; answered by {@link SettingChangedReply} once the change was read back from the log.
 *
 * <p>An {@code expectedVersion} of 0 stands for a path that has never been set; without one, the version that the daemon
 * knows when it handles the command is expected. An empty {@code value} deletes. Only operators may send it. Immutable,
 * thus thread-safe.
 */
public record ChangeSetting(String path, Optional<Long> expectedVersion, Optional<String> value)
        implements CallerCommand {

    public ChangeSetting {
        Objects.requireNonNull(path, "path must not be null");
        Objects.requireNonNull(expectedVersion, "expectedVersion must not be null");
        Objects.requireNonNull(value, "value must not be null");
    }
}

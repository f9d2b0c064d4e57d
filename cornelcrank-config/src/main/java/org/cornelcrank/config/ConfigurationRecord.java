package org.cornelcrank.config;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A record of the configuration stream, with the writer and sequence that make a repeated append recognisable.
 *
 * <p>Immutable, thus thread-safe.
 */
record ConfigurationRecord(String writer, long sequence, Content content) {

    ConfigurationRecord {
        Objects.requireNonNull(writer, "writer must not be null");
        Objects.requireNonNull(content, "content must not be null");
    }

    /** What a record says. */
    sealed interface Content {}

    /** Sets a path, or deletes it if there is no value; void unless the path is at the expected version at its offset. */
    record SettingChanged(String path, long expectedVersion, Optional<String> value) implements Content {}

    /** A part of all that took effect before an offset; a snapshot counts once all its parts are there. */
    record SnapshotPart(
            long coveredBeforeOffset, int part, int parts, List<SettingEntry> entries, Map<String, Long> writers)
            implements Content {

        public SnapshotPart {
            entries = List.copyOf(entries);
        }
    }
}

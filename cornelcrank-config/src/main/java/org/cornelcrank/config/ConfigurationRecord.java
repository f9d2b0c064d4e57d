package org.cornelcrank.config;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A record of the configuration stream; its writer and sequence number identify repeated appends.
 *
 * <p>Immutable, thus thread-safe.
 */
record ConfigurationRecord(String writer, long sequence, Content content) {

    ConfigurationRecord {
        Objects.requireNonNull(writer, "writer must not be null");
        Objects.requireNonNull(content, "content must not be null");
    }

    /** The content of a record. */
    sealed interface Content {}

    /** Sets a path, or deletes it without a value; void unless the path has the expected version at this offset. */
    record SettingChanged(String path, long expectedVersion, Optional<String> value) implements Content {}

    /** A part of a snapshot of all settings before an offset; the snapshot is usable once all parts have been read. */
    record SnapshotPart(
            long coveredBeforeOffset, int part, int parts, List<SettingEntry> entries, Map<String, Long> writers)
            implements Content {

        public SnapshotPart {
            entries = List.copyOf(entries);
        }
    }
}

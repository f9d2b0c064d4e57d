package org.cornelcrank.core;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

import com.google.protobuf.ByteString;

/**
 * One record of a keyed topic, for which the store retains the newest record of each key.
 *
 * <p>Invariant: the key has 1 to {@link #MAX_KEY_BYTES} bytes in UTF-8. A record with an empty value is a tombstone,
 * which deletes the key. Immutable, thus thread-safe.
 */
public record KeyedRecord(String key, ByteString value) {

    public static final int MAX_KEY_BYTES = 255;

    public KeyedRecord {
        Objects.requireNonNull(value, "value must not be null");
        int bytes = key.getBytes(StandardCharsets.UTF_8).length;
        if (bytes == 0 || bytes > MAX_KEY_BYTES) {
            throw new IllegalArgumentException("key must have 1 to " + MAX_KEY_BYTES + " bytes but had " + bytes);
        }
    }

    /** Returns a tombstone for a key. */
    public static KeyedRecord tombstone(String key) {
        return new KeyedRecord(key, ByteString.EMPTY);
    }

    /** Returns whether the record is a tombstone. */
    public boolean isTombstone() {
        return value.isEmpty();
    }
}

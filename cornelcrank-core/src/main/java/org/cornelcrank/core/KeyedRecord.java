package org.cornelcrank.core;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

import com.google.protobuf.ByteString;

/**
 * One record of a keyed topic, of which the store keeps the newest of each key.
 *
 * <p>Invariant: the key has 1 to {@link #MAX_KEY_BYTES} bytes; an empty value drops the key. Immutable, thus
 * thread-safe.
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

    /** Returns the record that drops a key. */
    public static KeyedRecord dropping(String key) {
        return new KeyedRecord(key, ByteString.EMPTY);
    }

    /** Returns whether the record drops its key. */
    public boolean drops() {
        return value.isEmpty();
    }
}

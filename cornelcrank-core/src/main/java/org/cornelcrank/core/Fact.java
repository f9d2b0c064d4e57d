package org.cornelcrank.core;

import java.util.Objects;

import com.google.protobuf.ByteString;

/**
 * A small piece of soft state that spreads to all daemons of the scope; the higher version wins.
 *
 * <p>Invariant: the value has at most {@link #MAX_VALUE_BYTES} bytes. A fact without a renewal lapses after
 * {@code lifetimeMs} at each receiver. Immutable, thus thread-safe.
 */
public record Fact(String slice, String key, long version, ByteString value, long lifetimeMs, Scope scope) {

    public static final int MAX_VALUE_BYTES = 512;

    public Fact {
        Objects.requireNonNull(slice, "slice must not be null");
        Objects.requireNonNull(key, "key must not be null");
        if (value.size() > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException(
                    "value must have at most " + MAX_VALUE_BYTES + " bytes but had " + value.size());
        }
    }

    /** Says how far a fact spreads. */
    public enum Scope {
        DATA_CENTRE,
        EVERYWHERE
    }
}

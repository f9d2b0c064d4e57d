package org.cornelcrank.core;

import java.util.Objects;

import com.google.protobuf.ByteString;

/**
 * A small, versioned soft-state entry that gossip spreads to all daemons of a scope; the higher version wins.
 *
 * <p>Invariant: the value has at most {@link #MAX_VALUE_BYTES} bytes. A fact that is not renewed expires at each
 * receiver after {@code lifetimeMs}. Immutable, thus thread-safe.
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

    /** Specifies which daemons receive a fact: those of the data centre of its origin, or all. */
    public enum Scope {
        DATA_CENTRE,
        EVERYWHERE
    }
}

package org.cornelcrank.core;

/**
 * Identifies a stream of the platform's log.
 *
 * <p>Invariant: {@code value} consists of 1 to {@link Names#MAX_LENGTH} letters, digits or any of {@code . _ : -}.
 * Immutable, thus thread-safe.
 */
public record StreamName(String value) implements Comparable<StreamName> {

    public StreamName {
        Names.requireName(value, "stream name");
    }

    @Override
    public int compareTo(StreamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package org.cornelcrank.core;

/**
 * Identifies an entry host by its configured name.
 *
 * <p>Invariant: {@code value} consists of 1 to {@link Names#MAX_LENGTH} letters, digits or any of {@code . _ : -}.
 * Immutable, thus thread-safe.
 */
public record HostId(String value) implements Comparable<HostId> {

    public HostId {
        Names.requireName(value, "host id");
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package org.cornelcrank.core;

/**
 * Identifies an entry host by the name that its settings give.
 *
 * <p>Invariant: {@code value} is made of letters, digits and {@code . _ : -}, at most {@link Names#MAX_LENGTH} characters.
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

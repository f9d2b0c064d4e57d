package org.cornelcrank.core;

/**
 * Identifies a data centre.
 *
 * <p>Invariant: {@code value} consists of 1 to {@link Names#MAX_LENGTH} letters, digits or any of {@code . _ : -}.
 * Immutable, thus thread-safe.
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

    public DataCentreId {
        Names.requireName(value, "data centre id");
    }

    @Override
    public int compareTo(DataCentreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

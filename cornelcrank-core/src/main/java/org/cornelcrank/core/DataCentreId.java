package org.cornelcrank.core;

/**
 * Identifies a data centre.
 *
 * <p>Invariant: {@code value} is made of letters, digits and {@code . _ : -}, at most {@link Names#MAX_LENGTH} characters.
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

package org.cornelcrank.core;

/**
 * Identifies a region, which is a group of data centres with short links between them.
 *
 * <p>Invariant: {@code value} is made of letters, digits and {@code . _ : -}, at most {@link Names#MAX_LENGTH} characters.
 * Immutable, thus thread-safe.
 */
public record RegionId(String value) implements Comparable<RegionId> {

    public RegionId {
        Names.requireName(value, "region id");
    }

    @Override
    public int compareTo(RegionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package org.cornelcrank.core;

/**
 * Identifies a region: a group of data centres with low latency between them.
 *
 * <p>Invariant: {@code value} consists of 1 to {@link Names#MAX_LENGTH} letters, digits or any of {@code . _ : -}.
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

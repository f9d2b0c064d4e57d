package org.cornelcrank.core;

/**
 * Identifies a target: a model runner or an instance of a plain service.
 *
 * <p>Invariant: {@code value} consists of 1 to {@link Names#MAX_LENGTH} letters, digits or any of {@code . _ : -}.
 * Immutable, thus thread-safe.
 */
public record TargetId(String value) implements Comparable<TargetId> {

    public TargetId {
        Names.requireName(value, "target id");
    }

    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

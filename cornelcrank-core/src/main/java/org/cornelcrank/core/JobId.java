package org.cornelcrank.core;

/**
 * Identifies a batch job.
 *
 * <p>Invariant: {@code value} consists of 1 to {@link Names#MAX_LENGTH} letters, digits or any of {@code . _ : -}.
 * Immutable, thus thread-safe.
 */
public record JobId(String value) implements Comparable<JobId> {

    public JobId {
        Names.requireName(value, "job id");
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

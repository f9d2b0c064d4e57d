package org.cornelcrank.core;

/**
 * Identifies a batch job.
 *
 * <p>Invariant: {@code value} is made of letters, digits and {@code . _ : -}, at most {@link Names#MAX_LENGTH} characters.
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

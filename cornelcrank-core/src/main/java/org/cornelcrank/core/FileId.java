package org.cornelcrank.core;

/**
 * Identifies an uploaded file of batch items.
 *
 * <p>Invariant: {@code value} consists of 1 to {@link Names#MAX_LENGTH} letters, digits or any of {@code . _ : -}.
 * Immutable, thus thread-safe.
 */
public record FileId(String value) implements Comparable<FileId> {

    public FileId {
        Names.requireName(value, "file id");
    }

    @Override
    public int compareTo(FileId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

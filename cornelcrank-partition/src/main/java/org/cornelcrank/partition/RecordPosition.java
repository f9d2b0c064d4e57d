package org.cornelcrank.partition;

/**
 * The position of a durable record: the offset of the log record and the index within its group.
 *
 * <p>Immutable, thus thread-safe.
 */
public record RecordPosition(long offset, int index) implements Comparable<RecordPosition> {

    @Override
    public int compareTo(RecordPosition other) {
        int byOffset = Long.compare(offset, other.offset);
        return byOffset != 0 ? byOffset : Integer.compare(index, other.index);
    }
}

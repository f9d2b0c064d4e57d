package org.cornelcrank.partition;

import java.util.List;

import com.google.protobuf.ByteString;

/**
 * The state of one slice in one partition: a deterministic fold over the records that took effect.
 *
 * <p>Invariant: the state depends only on the applied records, their order, positions and times, so that every daemon
 * that folds the same stream reaches the same state. Not thread-safe: confined to the daemon's event loop.
 */
public interface PartitionState {

    /** Applies one record of this slice that took effect. A record that is invalid in this state is ignored. */
    void apply(DurableRecord record, RecordPosition position, long writtenAtMs);

    /** Returns the complete state for a checkpoint, as payloads that each fit into one append. */
    List<ByteString> checkpoint();

    /** Replaces this state by that of a checkpoint; the payloads are those of {@link #checkpoint()}, in order. */
    void restore(List<ByteString> payloads);

    /**
     * Returns the positions of records before the offset whose payloads are still needed, oldest first, at most
     * {@code limit} of them.
     *
     * <p>The partition's owner appends these records again before they expire, and reports each new position through
     * {@link #moved}.
     */
    List<RecordPosition> neededBefore(long offset, int limit);

    /** Called when a needed record was appended again and is now read at another position. */
    void moved(RecordPosition from, RecordPosition to);
}

package org.cornelcrank.partition;

import java.util.List;

import com.google.protobuf.ByteString;

/**
 * One duty's state in one partition: a deterministic fold over the records that took effect.
 *
 * <p>Invariant: the state depends on nothing but the applied records, in order, with the positions and times given with
 * them; every daemon that folds the same stream has the same state. Not thread-safe: confined to the daemon's event loop.
 */
public interface PartitionState {

    /** Applies one record of this slice that took effect. A record that the state finds void is passed over in silence. */
    void apply(DurableRecord record, RecordPosition position, long writtenAtMs);

    /** Returns the whole state for a checkpoint, as payloads that are small enough for one append each. */
    List<ByteString> checkpoint();

    /** Puts the state of a checkpoint in place of this one; the payloads are those of {@link #checkpoint()}, in order. */
    void restore(List<ByteString> payloads);

    /**
     * Returns positions, oldest first and before the given offset, of records whose bodies are still needed, at most as
     * many as given.
     *
     * <p>The partition re-appends them before they expire; each comes back through {@link #moved}.
     */
    List<RecordPosition> neededBefore(long offset, int most);

    /** Is told that a needed record was re-appended, and now stands at another position. */
    void moved(RecordPosition from, RecordPosition to);
}

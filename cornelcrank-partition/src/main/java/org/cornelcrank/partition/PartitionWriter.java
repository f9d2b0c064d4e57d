package org.cornelcrank.partition;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PartitionId;

/**
 * Appends durable records to the partitions that this daemon owns.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
public interface PartitionWriter {

    /** Maximum size of the payload of one record, in bytes. */
    int MAX_RECORD_BYTES = 900 * 1024;

    /** Returns whether this daemon owns the partition and has read all records that took effect before. */
    boolean owns(PartitionId partition);

    /** Returns the epoch in which this daemon owns the partition, also its fencing number; empty if it does not. */
    OptionalLong epoch(PartitionId partition);

    /** Returns the last known owner of the partition, or else the host that should claim it. */
    Optional<HostId> likelyOwner(PartitionId partition);

    /** Returns the number of partitions of each home region. */
    int partitionCount();

    /** Returns whether the log is available; while it is not, new work that must be durable is refused. */
    boolean logAvailable(long nowMs);

    /** Returns the payload bytes of the partition's proposals that have not been read back from the log yet. */
    long pendingBytes(PartitionId partition);

    /**
     * Returns whether the given number of bytes can be proposed to a partition within its limit of pending bytes.
     *
     * <p>{@link #propose} does not enforce this limit, so that accepted work can always be completed; callers check it
     * before they accept new work.
     */
    default boolean hasCapacity(PartitionId partition, long bytes) {
        return true;
    }

    /**
     * Proposes a record; {@link PartitionClient#proposalApplied} is called once it has taken effect.
     *
     * <p>An {@code urgent} record is appended without waiting for further records to share the append.
     *
     * @return the proposal's number, unique within this daemon's run
     * @throws IllegalStateException if this daemon does not own the partition
     * @throws IllegalArgumentException if the payload has more than {@link #MAX_RECORD_BYTES} bytes
     */
    long propose(PartitionId partition, DurableRecord record, boolean urgent, long nowMs, Effects out);

    /**
     * Reads payloads of a slice's records again by position, from a partition that this daemon owns.
     *
     * @return the read's number, unique within this daemon's run
     */
    long readBodies(PartitionId partition, String slice, Collection<RecordPosition> positions, long nowMs, Effects out);
}

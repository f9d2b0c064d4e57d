package org.cornelcrank.partition;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PartitionId;

/**
 * Writes durable records to the partitions that this daemon owns.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
public interface PartitionWriter {

    /** The most bytes that the payload of one record may have. */
    int MAX_RECORD_BYTES = 900 * 1024;

    /** Returns whether this daemon owns the partition and has read all that took effect before. */
    boolean owns(PartitionId partition);

    /** Returns the epoch under which this daemon owns the partition, which is also its fencing number. */
    OptionalLong epoch(PartitionId partition);

    /** Returns the host that owns the partition as far as is known, or that should claim it. */
    Optional<HostId> likelyOwner(PartitionId partition);

    /** Returns how many partitions each home region has. */
    int partitionCount();

    /** Returns whether the log has answered lately; new work that must last is refused while it has not. */
    boolean logAnswers(long nowMs);

    /** Returns how many bytes of proposals wait for the log in a partition. */
    long pendingBytes(PartitionId partition);

    /**
     * Returns whether so many more bytes may be proposed to a partition within its bound.
     *
     * <p>Proposals are never refused for their size together, so that accepted work can end; those who take on new work
     * ask first.
     */
    default boolean hasCapacity(PartitionId partition, long bytes) {
        return true;
    }

    /**
     * Proposes a record; {@link PartitionClient#proposalApplied} follows once it has taken effect.
     *
     * <p>{@code urgent} asks for an append without waiting for others to share it.
     *
     * @return the proposal's number, unique for this daemon
     * @throws IllegalStateException if this daemon does not own the partition
     * @throws IllegalArgumentException if the payload has more than {@link #MAX_RECORD_BYTES} bytes
     */
    long propose(PartitionId partition, DurableRecord record, boolean urgent, long nowMs, Effects out);

    /**
     * Reads the payloads of records again by position, from this slice's records of any partition that this daemon owns.
     *
     * @return the read's number, unique for this daemon
     */
    long readBodies(PartitionId partition, String slice, Collection<RecordPosition> positions, long nowMs, Effects out);
}

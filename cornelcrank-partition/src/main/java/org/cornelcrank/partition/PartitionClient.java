package org.cornelcrank.partition;

import java.util.Map;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.PartitionId;

/**
 * A state machine that keeps durable state in partitions.
 *
 * <p>Implementations are confined to the daemon's event loop. Methods named in the past tense are called during the
 * event that causes the change.
 */
public interface PartitionClient {

    /** Returns the slice name in the {@link DurableRecord}s of this state machine. */
    String slice();

    /** Creates the empty state of a partition that this daemon starts to follow. */
    PartitionState newState(PartitionId partition);

    /** Called when this daemon owns the partition; the state includes all records that took effect before. */
    void ownershipGained(PartitionId partition, PartitionState state, long nowMs, Effects out);

    /** Called when this daemon no longer owns the partition; pending proposals are dropped without a further call. */
    void ownershipLost(PartitionId partition, long nowMs, Effects out);

    /**
     * Called when the record of a proposal was read back from the log in its writer's epoch, and has been applied.
     *
     * <p>Only from then on may the proposed change be acknowledged.
     */
    void proposalApplied(PartitionId partition, long proposal, RecordPosition position, long nowMs, Effects out);

    /** Called when {@link PartitionWriter#readBodies} has completed; expired positions are missing from the result. */
    void bodiesRead(
            PartitionId partition, long readNumber, Map<RecordPosition, ByteString> bodies, long nowMs, Effects out);

    /** Called when a read failed because the log did not respond; a later read may succeed. */
    void bodiesUnavailable(PartitionId partition, long readNumber, long nowMs, Effects out);
}

package org.cornelcrank.partition;

import java.util.Map;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.PartitionId;

/**
 * A duty that keeps durable state in partitions.
 *
 * <p>Implementations are confined to the daemon's event loop. Methods named in the past tense are called in the event
 * that brings the change about.
 */
public interface PartitionClient {

    /** Returns the slice name that the duty's {@link DurableRecord}s carry. */
    String slice();

    /** Makes the empty state of a partition that this daemon begins to follow. */
    PartitionState newState(PartitionId partition);

    /** This daemon owns the partition now; the state holds all that took effect before. */
    void ownershipGained(PartitionId partition, PartitionState state, long nowMs, Effects out);

    /** This daemon no longer owns the partition; every proposal that has not taken effect is dropped without a call. */
    void ownershipLost(PartitionId partition, long nowMs, Effects out);

    /**
     * The record of a proposal was read back from the log under the epoch of its writer, and has been applied.
     *
     * <p>Only now may anything be acknowledged.
     */
    void proposalApplied(PartitionId partition, long proposal, RecordPosition position, long nowMs, Effects out);

    /** Records asked for with {@link PartitionWriter#readBodies} were read; a position that has expired is missing. */
    void bodiesRead(
            PartitionId partition, long readNumber, Map<RecordPosition, ByteString> bodies, long nowMs, Effects out);

    /** Records could not be read because the log does not answer; asking again later may succeed. */
    void bodiesUnavailable(PartitionId partition, long readNumber, long nowMs, Effects out);
}

package org.cornelcrank.partition;

import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.PeerMessage;

/**
 * Messages between daemons about the ownership of a partition.
 *
 * <p>They are hints only: a lost or late message delays a change of owner but does no harm.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface PartitionMessage extends PeerMessage {

    PartitionId partition();

    /** Returns the epoch to which the message refers. */
    long epoch();

    /** Queries whether the receiver owns the partition in the epoch. */
    record OwnershipQuery(PartitionId partition, long epoch) implements PartitionMessage {}

    /** Replies to an {@link OwnershipQuery}. */
    record OwnershipReply(PartitionId partition, long epoch, boolean owns) implements PartitionMessage {}

    /** Requests the receiver to read the partition to its end and prepare to claim it. */
    record HandoverOffer(PartitionId partition, long epoch) implements PartitionMessage {}

    /** Replies to a {@link HandoverOffer} once the partition has been read to its end. */
    record HandoverReady(PartitionId partition, long epoch) implements PartitionMessage {}

    /** Notifies the successor that the owner has released the partition. */
    record OwnershipReleased(PartitionId partition, long epoch) implements PartitionMessage {}

    /** Requests the receiver to claim the partition if it can read the log; sent by an owner that cannot. */
    record ClaimRequest(PartitionId partition, long epoch) implements PartitionMessage {}
}

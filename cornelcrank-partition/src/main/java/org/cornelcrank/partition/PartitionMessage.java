package org.cornelcrank.partition;

import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.PeerMessage;

/**
 * Messages between daemons about who owns a partition; hints that cost speed if they are lost or late.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface PartitionMessage extends PeerMessage {

    PartitionId partition();

    /** Returns the epoch that the sender speaks of. */
    long epoch();

    /** Asks a daemon whether it owns the partition under the epoch. */
    record OwnershipQuery(PartitionId partition, long epoch) implements PartitionMessage {}

    /** Answers an {@link OwnershipQuery}. */
    record OwnershipReply(PartitionId partition, long epoch, boolean owns) implements PartitionMessage {}

    /** Asks a daemon to read the partition to its end and be ready to claim it. */
    record HandOverOffer(PartitionId partition, long epoch) implements PartitionMessage {}

    /** Answers a {@link HandOverOffer} once all has been read. */
    record HandOverReady(PartitionId partition, long epoch) implements PartitionMessage {}

    /** Tells the successor that the partition is free for it to claim. */
    record Released(PartitionId partition, long epoch) implements PartitionMessage {}

    /** Asks a daemon to claim the partition if it can read the log, which the sender cannot. */
    record TakeOverRequest(PartitionId partition, long epoch) implements PartitionMessage {}
}

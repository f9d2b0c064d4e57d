package org.cornelcrank.partition;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.PartitionId;

/** Listener for partitions whose ownership this daemon gains or loses. */
interface OwnershipListener {

    void gained(LocalPartition local, long nowMs, Effects out);

    void lost(PartitionId partition, long nowMs, Effects out);
}

package org.cornelcrank.partition;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.PartitionId;

/** Is told of partitions that this daemon begins or ceases to own. */
interface OwnershipListener {

    void gained(LocalPartition local, long nowMs, Effects out);

    void lost(PartitionId partition, long nowMs, Effects out);
}

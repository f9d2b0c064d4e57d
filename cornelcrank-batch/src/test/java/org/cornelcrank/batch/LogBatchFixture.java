package org.cornelcrank.batch;

import org.cornelcrank.fake.LogCluster;
import org.cornelcrank.partition.PartitionSettings;

/** Batch scenario over the partition state machine and an in-memory log. Not thread-safe. */
final class LogBatchFixture extends BatchScenario {

    final LogCluster cluster;

    LogBatchFixture(int partitionCount, String... hosts) {
        super(BatchSettings.defaults());
        PartitionSettings defaults = PartitionSettings.defaults();
        PartitionSettings settings = new PartitionSettings(
                partitionCount, defaults.append(), defaults.read(), defaults.ownership(), defaults.retention());
        this.cluster = new LogCluster(settings, this::install, hosts);
    }

    @Override
    LogCluster cluster() {
        return cluster;
    }
}

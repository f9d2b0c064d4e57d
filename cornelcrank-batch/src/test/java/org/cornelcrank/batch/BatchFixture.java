package org.cornelcrank.batch;

import org.cornelcrank.core.FileId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.fake.FakeCluster;

/** Batch scenario over fake partitions, whose owners the test chooses. Not thread-safe. */
final class BatchFixture extends BatchScenario {

    final FakeCluster cluster;

    BatchFixture(String... hosts) {
        this(BatchSettings.defaults(), 4, hosts);
    }

    BatchFixture(BatchSettings limits, int partitionCount, String... hosts) {
        super(limits);
        this.cluster = new FakeCluster(partitionCount, new BatchMessageCodec(), this::install, hosts);
    }

    @Override
    FakeCluster cluster() {
        return cluster;
    }

    String ownerOf(JobId job) {
        return cluster.owner(BatchIds.partitionOf(job).orElseThrow());
    }

    String ownerOf(FileId file) {
        return cluster.owner(BatchIds.partitionOf(file).orElseThrow());
    }
}

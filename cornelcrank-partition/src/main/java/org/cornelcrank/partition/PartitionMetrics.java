package org.cornelcrank.partition;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/**
 * The counters of this slice.
 *
 * <p>Thread-safe as the registry's counters are.
 */
final class PartitionMetrics {

    final Counter claimsWon;
    final Counter claimsLost;
    final Counter ownershipsLost;
    final Counter handovers;
    final Counter appends;
    final Counter appendsRetried;
    final Counter appendedRecords;
    final Counter appendedBytes;
    final Counter voidGroups;
    final Counter checkpoints;
    final Counter checkpointsUnusable;
    final Counter recordsCarriedOver;
    final Counter partitionsUnreadable;
    final Counter readFailures;
    final Counter bodiesExpired;

    PartitionMetrics(MetricRegistry registry) {
        claimsWon = registry.counter("partition.claims-won");
        claimsLost = registry.counter("partition.claims-lost");
        ownershipsLost = registry.counter("partition.ownerships-lost");
        handovers = registry.counter("partition.hand-overs");
        appends = registry.counter("partition.appends");
        appendsRetried = registry.counter("partition.appends-repeated");
        appendedRecords = registry.counter("partition.appended-records");
        appendedBytes = registry.counter("partition.appended-bytes");
        voidGroups = registry.counter("partition.void-groups");
        checkpoints = registry.counter("partition.checkpoints-written");
        checkpointsUnusable = registry.counter("partition.checkpoints-unusable");
        recordsCarriedOver = registry.counter("partition.records-carried-over");
        partitionsUnreadable = registry.counter("partition.needed-records-expired");
        readFailures = registry.counter("partition.read-failures");
        bodiesExpired = registry.counter("partition.needed-bodies-expired");
    }
}

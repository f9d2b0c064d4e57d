package org.cornelcrank.partition;

/** Settings for tests that differ from the defaults in one aspect. */
final class TestSettings {

    private TestSettings() {}

    static PartitionSettings partitions(int count) {
        PartitionSettings defaults = PartitionSettings.defaults();
        return new PartitionSettings(
                count, defaults.append(), defaults.read(), defaults.ownership(), defaults.retention());
    }

    /** Disables the group cache, so that every body is read from the log. */
    static PartitionSettings retention(RetentionSettings retention, int maxGroupBytes) {
        PartitionSettings defaults = PartitionSettings.defaults();
        AppendSettings append = defaults.append();
        return new PartitionSettings(
                1,
                new AppendSettings(
                        append.budgetPerSecond(),
                        append.packedPerSecond(),
                        append.recordsPerPackedAppend(),
                        maxGroupBytes,
                        append.maxPendingBytes(),
                        append.retryBaseMs(),
                        append.retryMaxMs()),
                new ReadSettings(
                        defaults.read().waitMs(),
                        defaults.read().silenceMs(),
                        defaults.read().maxBytes(),
                        0),
                defaults.ownership(),
                retention);
    }

    static PartitionSettings rebalanceAfterMs(long rebalanceAfterMs) {
        PartitionSettings defaults = PartitionSettings.defaults();
        OwnershipSettings ownership = defaults.ownership();
        return new PartitionSettings(
                defaults.partitionCount(),
                defaults.append(),
                defaults.read(),
                new OwnershipSettings(
                        ownership.tickMs(),
                        ownership.settleMs(),
                        rebalanceAfterMs,
                        ownership.handOverTimeoutMs(),
                        ownership.cutOffAfterMs(),
                        ownership.hintRenewalMs(),
                        ownership.foreignClaimAfterMs()),
                defaults.retention());
    }
}

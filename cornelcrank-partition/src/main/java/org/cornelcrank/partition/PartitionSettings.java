package org.cornelcrank.partition;

import java.util.Objects;

/**
 * Settings of the partition slice, the same on every daemon of a deployment.
 *
 * <p>{@code partitionCount} is the number of partitions of each home region; it cannot change after a deployment has
 * first started. Immutable, thus thread-safe.
 */
public record PartitionSettings(
        int partitionCount,
        AppendSettings append,
        ReadSettings read,
        OwnershipSettings ownership,
        RetentionSettings retention) {

    public PartitionSettings {
        Settings.requireWithin("partitionCount", partitionCount, 1, 1_000);
        Objects.requireNonNull(append, "append must not be null");
        Objects.requireNonNull(read, "read must not be null");
        Objects.requireNonNull(ownership, "ownership must not be null");
        Objects.requireNonNull(retention, "retention must not be null");
    }

    public static PartitionSettings defaults() {
        return new PartitionSettings(
                16,
                AppendSettings.defaults(),
                ReadSettings.defaults(),
                OwnershipSettings.defaults(),
                RetentionSettings.defaults());
    }
}

package org.cornelcrank.partition;

/**
 * Says how much the owners of all partitions together may append, and how they share an append.
 *
 * <p>{@code budgetPerSecond} bounds all appends of the system, urgent ones included; each partition gets an equal share.
 * Records that are not urgent wait until their partition has earned a packed append: all partitions together earn
 * {@code packedPerSecond} of them each second, and one more for each {@code recordsPerPackedAppend} records.
 * Immutable, thus thread-safe.
 */
public record AppendSettings(
        int budgetPerSecond,
        int packedPerSecond,
        int recordsPerPackedAppend,
        int maxGroupBytes,
        int maxPendingBytes,
        long retryBaseMs,
        long retryMaxMs) {

    /** The log takes at most 1 MiB; compression may lengthen a group a little. */
    private static final int LARGEST_GROUP_BYTES = 960 * 1024;

    public AppendSettings {
        Settings.requireWithin("budgetPerSecond", budgetPerSecond, 1, 100_000);
        Settings.requireWithin("packedPerSecond", packedPerSecond, 1, budgetPerSecond);
        Settings.requireWithin("recordsPerPackedAppend", recordsPerPackedAppend, 1, 1_000_000);
        Settings.requireWithin("maxGroupBytes", maxGroupBytes, 1024, LARGEST_GROUP_BYTES);
        Settings.requireWithin("maxPendingBytes", maxPendingBytes, maxGroupBytes, Integer.MAX_VALUE);
        Settings.requireWithin("retryBaseMs", retryBaseMs, 1, retryMaxMs);
    }

    public static AppendSettings defaults() {
        return new AppendSettings(150, 6, 200, 768 * 1024, 8 * 1024 * 1024, 50, 2_000);
    }
}

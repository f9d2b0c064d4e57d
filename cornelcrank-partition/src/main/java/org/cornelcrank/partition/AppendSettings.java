package org.cornelcrank.partition;

/**
 * Settings for the rate of appends and for group commit.
 *
 * <p>{@code budgetPerSecond} limits all appends of the system, urgent ones included; each partition gets an equal
 * share. Records that are not urgent wait until their partition has earned a packed append: all partitions together
 * earn {@code packedPerSecond} of them per second, and one more for each {@code recordsPerPackedAppend} records.
 * {@code maxGroupBytes} limits the payloads of one append, {@code maxPendingBytes} the proposals of one partition that
 * have not been read back yet. Immutable, thus thread-safe.
 */
public record AppendSettings(
        int budgetPerSecond,
        int packedPerSecond,
        int recordsPerPackedAppend,
        int maxGroupBytes,
        int maxPendingBytes,
        long retryBaseMs,
        long retryMaxMs) {

    /** The log accepts at most 1 MiB per append; compression can make an incompressible group slightly longer. */
    private static final int GROUP_BYTES_LIMIT = 960 * 1024;

    public AppendSettings {
        Settings.requireWithin("budgetPerSecond", budgetPerSecond, 1, 100_000);
        Settings.requireWithin("packedPerSecond", packedPerSecond, 1, budgetPerSecond);
        Settings.requireWithin("recordsPerPackedAppend", recordsPerPackedAppend, 1, 1_000_000);
        Settings.requireWithin("maxGroupBytes", maxGroupBytes, 1024, GROUP_BYTES_LIMIT);
        Settings.requireWithin("maxPendingBytes", maxPendingBytes, maxGroupBytes, Integer.MAX_VALUE);
        Settings.requireWithin("retryBaseMs", retryBaseMs, 1, retryMaxMs);
    }

    public static AppendSettings defaults() {
        return new AppendSettings(150, 6, 200, 768 * 1024, 8 * 1024 * 1024, 50, 2_000);
    }
}

package org.cornelcrank.batch;

import org.cornelcrank.core.ForwardingSettings;

/**
 * Limits and time spans of batch jobs at one daemon.
 *
 * <p>{@code maxWindowBytes} bounds the lines of waiting and running items of all jobs, {@code maxJobWindowBytes} and
 * {@code maxJobWindowItems} those of one job. {@code maxBufferedResultBytes} bounds the finished results that have not
 * been read back from the log; no item starts once it is reached. Invariant: all values are above zero. Immutable, thus
 * thread-safe.
 */
public record BatchSettings(
        ForwardingSettings forwarding,
        long commandTimeoutMs,
        int maxWindowBytes,
        int maxJobWindowBytes,
        int maxJobWindowItems,
        int maxResultsPerRecord,
        int maxRecordBytes,
        int maxResultBytes,
        long resultDelayMs,
        int maxBufferedResultBytes,
        int maxPageBytes,
        long retryDelayMs,
        long maxRetryDelayMs,
        long unsealedFileLifetimeMs,
        long keyRetentionMs,
        long expiryIntervalMs) {

    private static final long HOUR_MS = 3_600_000;

    public BatchSettings {
        requirePositive("commandTimeoutMs", commandTimeoutMs);
        requirePositive("maxWindowBytes", maxWindowBytes);
        requirePositive("maxJobWindowBytes", maxJobWindowBytes);
        requirePositive("maxJobWindowItems", maxJobWindowItems);
        requirePositive("maxResultsPerRecord", maxResultsPerRecord);
        requirePositive("maxRecordBytes", maxRecordBytes);
        requirePositive("maxResultBytes", maxResultBytes);
        requirePositive("resultDelayMs", resultDelayMs);
        requirePositive("maxBufferedResultBytes", maxBufferedResultBytes);
        requirePositive("maxPageBytes", maxPageBytes);
        requirePositive("retryDelayMs", retryDelayMs);
        requirePositive("maxRetryDelayMs", maxRetryDelayMs);
        requirePositive("unsealedFileLifetimeMs", unsealedFileLifetimeMs);
        requirePositive("keyRetentionMs", keyRetentionMs);
        requirePositive("expiryIntervalMs", expiryIntervalMs);
    }

    /** Returns settings for a daemon that spends a few megabytes of memory on jobs. */
    public static BatchSettings defaults() {
        return new BatchSettings(
                ForwardingSettings.defaults(),
                20_000,
                8 * 1024 * 1024,
                512 * 1024,
                512,
                128,
                256 * 1024,
                512 * 1024,
                2_000,
                4 * 1024 * 1024,
                256 * 1024,
                1_000,
                60_000,
                HOUR_MS,
                30 * 24 * HOUR_MS,
                60_000);
    }

    private static void requirePositive(String name, long value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be above zero but was " + value);
        }
    }
}

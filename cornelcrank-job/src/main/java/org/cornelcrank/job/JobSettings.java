package org.cornelcrank.job;

/**
 * Settings of jobs.
 *
 * <p>{@code partitions}, {@code maxRecordBytes} and {@code maxRequestBytes} are the store's. {@code leaseMs} is how long a
 * partition stays with a daemon that has fallen silent towards the store, {@code renewIntervalMs} how often it speaks.
 * {@code resultRetentionMs} is how long the results of a job that is done stay readable. Immutable, thus thread-safe.
 */
public record JobSettings(
        int partitions,
        int maxRecordBytes,
        int maxRequestBytes,
        long leaseMs,
        long renewIntervalMs,
        long resultRetentionMs) {

    public JobSettings {
        if (partitions < 1 || maxRecordBytes < 1 || maxRequestBytes < maxRecordBytes) {
            throw new IllegalArgumentException(
                    "partitions and bytes must be above zero, and a request no shorter than a " + "record, but were "
                            + partitions + ", " + maxRecordBytes + " and " + maxRequestBytes);
        }
        if (renewIntervalMs < 1 || leaseMs <= renewIntervalMs || resultRetentionMs < 1) {
            throw new IllegalArgumentException(
                    "leaseMs must be above renewIntervalMs, and resultRetentionMs above zero, " + "but were " + leaseMs
                            + ", " + renewIntervalMs + " and " + resultRetentionMs);
        }
    }
}

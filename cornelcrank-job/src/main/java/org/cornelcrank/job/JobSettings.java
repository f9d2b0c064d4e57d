package org.cornelcrank.job;

/**
 * Settings of jobs.
 *
 * <p>{@code partitions}, {@code maxRecordBytes} and {@code maxRequestBytes} are those of the store. A partition stays
 * assigned to a daemon for {@code leaseMs} after its last renewal, and a daemon renews every {@code renewIntervalMs}.
 * {@code resultRetentionMs} is how long the results of a finished job stay readable. Immutable, thus thread-safe.
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
            throw new IllegalArgumentException("partitions, maxRecordBytes and maxRequestBytes must be above zero and "
                    + "maxRequestBytes at least maxRecordBytes, but were " + partitions + ", " + maxRecordBytes
                    + " and " + maxRequestBytes);
        }
        if (renewIntervalMs < 1 || leaseMs <= renewIntervalMs || resultRetentionMs < 1) {
            throw new IllegalArgumentException(
                    "leaseMs must be above renewIntervalMs, and resultRetentionMs above zero, " + "but were " + leaseMs
                            + ", " + renewIntervalMs + " and " + resultRetentionMs);
        }
    }
}

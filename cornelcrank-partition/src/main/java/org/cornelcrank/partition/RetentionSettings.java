package org.cornelcrank.partition;

/**
 * Settings for the log's retention and for the checkpoints that owners write before records expire.
 *
 * <p>Invariant: a checkpoint, and the records that its state still needs, are renewed at least twice within the log's
 * retention. Immutable, thus thread-safe.
 */
public record RetentionSettings(long logRetentionMs, long checkpointIntervalMs, long checkpointEveryBytes) {

    public RetentionSettings {
        Settings.requireWithin("logRetentionMs", logRetentionMs, 1_000, Long.MAX_VALUE);
        Settings.requireWithin("checkpointIntervalMs", checkpointIntervalMs, 1, logRetentionMs / 4);
        Settings.requireWithin("checkpointEveryBytes", checkpointEveryBytes, 1, Long.MAX_VALUE);
    }

    /** Returns the age at which records that are still needed are appended again. */
    long carryOverAgeMs() {
        return logRetentionMs / 2;
    }

    public static RetentionSettings defaults() {
        return new RetentionSettings(24 * 3_600_000L, 3_600_000L, 16L * 1024 * 1024);
    }
}

package org.cornelcrank.config;

/**
 * Times and limits for reading and changing the operators' settings.
 *
 * <p>Invariant: all are positive. {@code snapshotIntervalMs} must be well below the log's retention, since expired
 * records can only be recovered from snapshots. Changes are requested from peers about every {@code peerIntervalMs},
 * and about every {@code peerIntervalWithoutLogMs} while the log is not available. Without the log, the settings are
 * ready once {@code peersBeforeReady} peers have sent all their entries, or {@code peerPatienceMs} after the first one
 * has. Immutable, thus thread-safe.
 */
public record ConfigSettings(
        long tailWaitMs,
        int readBytes,
        long readRetryMs,
        long changeTimeoutMs,
        long appendRetryMs,
        int maxPendingChanges,
        int maxWatchers,
        long maxWatchMs,
        long peerIntervalMs,
        long peerIntervalWithoutLogMs,
        int peersBeforeReady,
        long peerPatienceMs,
        long snapshotIntervalMs) {

    public ConfigSettings {
        requirePositive("tailWaitMs", tailWaitMs);
        requirePositive("readBytes", readBytes);
        requirePositive("readRetryMs", readRetryMs);
        requirePositive("changeTimeoutMs", changeTimeoutMs);
        requirePositive("appendRetryMs", appendRetryMs);
        requirePositive("maxPendingChanges", maxPendingChanges);
        requirePositive("maxWatchers", maxWatchers);
        requirePositive("maxWatchMs", maxWatchMs);
        requirePositive("peerIntervalMs", peerIntervalMs);
        requirePositive("peerIntervalWithoutLogMs", peerIntervalWithoutLogMs);
        requirePositive("peersBeforeReady", peersBeforeReady);
        requirePositive("peerPatienceMs", peerPatienceMs);
        requirePositive("snapshotIntervalMs", snapshotIntervalMs);
    }

    /** Returns settings for a log whose retention is at least several hours. */
    public static ConfigSettings defaults() {
        return new ConfigSettings(
                10_000, 512 * 1024, 1_000, 8_000, 1_000, 256, 256, 60_000, 10_000, 1_000, 3, 2_000, 3_600_000);
    }

    private static void requirePositive(String name, long value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be positive but was " + value);
        }
    }
}

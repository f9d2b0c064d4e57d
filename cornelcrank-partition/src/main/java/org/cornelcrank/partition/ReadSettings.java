package org.cornelcrank.partition;

/**
 * Settings for reading the partitions' streams.
 *
 * <p>{@code waitMs} is how long the log may hold a read at the end of a stream (long polling); {@code silenceMs} is how
 * much longer a response may take before the log counts as unavailable. Immutable, thus thread-safe.
 */
public record ReadSettings(long waitMs, long silenceMs, int maxBytes, int cacheBytes) {

    public ReadSettings {
        Settings.requireWithin("waitMs", waitMs, 1, 60_000);
        Settings.requireWithin("silenceMs", silenceMs, 1, 600_000);
        Settings.requireWithin("maxBytes", maxBytes, 1, 64 * 1024 * 1024);
        Settings.requireWithin("cacheBytes", cacheBytes, 0, Integer.MAX_VALUE);
    }

    public static ReadSettings defaults() {
        return new ReadSettings(5_000, 3_000, 1024 * 1024, 2 * 1024 * 1024);
    }
}

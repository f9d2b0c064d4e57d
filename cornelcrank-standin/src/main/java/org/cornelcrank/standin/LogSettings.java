package org.cornelcrank.standin;

import java.util.Objects;

/**
 * Settings of the stand-in for the log service.
 *
 * <p>Port zero selects any free port. Immutable, thus thread-safe.
 */
public record LogSettings(String host, int port, long retentionMs, double appendsPerSecond) {

    public LogSettings {
        Objects.requireNonNull(host, "host must not be null");
        if (retentionMs <= 0) {
            throw new IllegalArgumentException("retentionMs must be above zero but was " + retentionMs);
        }
        if (!(appendsPerSecond > 0)) {
            throw new IllegalArgumentException("appendsPerSecond must be above zero but was " + appendsPerSecond);
        }
    }

    /** Returns a log with one day of retention and 400 appends per second on any free port of the loopback address. */
    public static LogSettings defaults() {
        return new LogSettings("127.0.0.1", 0, 86_400_000L, 400);
    }

    public LogSettings withPort(int newPort) {
        return new LogSettings(host, newPort, retentionMs, appendsPerSecond);
    }

    public LogSettings withRetentionMs(long newRetentionMs) {
        return new LogSettings(host, port, newRetentionMs, appendsPerSecond);
    }

    public LogSettings withAppendsPerSecond(double newAppendsPerSecond) {
        return new LogSettings(host, port, retentionMs, newAppendsPerSecond);
    }
}

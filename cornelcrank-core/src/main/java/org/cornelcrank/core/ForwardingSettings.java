package org.cornelcrank.core;

/**
 * Sets how commands are forwarded to owners of partitions.
 *
 * <p>Invariant: both times are above zero. Immutable, thus thread-safe.
 */
public record ForwardingSettings(long checkIntervalMs, long resendAfterMs) {

    public ForwardingSettings {
        if (checkIntervalMs <= 0) {
            throw new IllegalArgumentException("checkIntervalMs must be above zero but was " + checkIntervalMs);
        }
        if (resendAfterMs <= 0) {
            throw new IllegalArgumentException("resendAfterMs must be above zero but was " + resendAfterMs);
        }
    }

    /** Returns settings that find a new owner within a quarter of a second of its being known. */
    public static ForwardingSettings defaults() {
        return new ForwardingSettings(250, 2_000);
    }
}

package org.cornelcrank.core;

/**
 * Intervals at which forwarded commands are checked and resent.
 *
 * <p>Invariant: both are positive. Immutable, thus thread-safe.
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

    /** Returns settings that forward a command within 250 ms of a new owner becoming known. */
    public static ForwardingSettings defaults() {
        return new ForwardingSettings(250, 2_000);
    }
}

package org.cornelcrank.call;

import org.cornelcrank.core.ForwardingSettings;

/**
 * Sets the limits and times of guarded calls at one daemon.
 *
 * <p>{@code guardRetentionMs} is how long a key is remembered from its intent on; a call's deadline lies at most
 * {@code maxCallMs} ahead. {@code recordPatienceMs} is how long a finished call's answer waits for its record to be read
 * back. Invariants: all are above zero; a guard outlives every call by far. Immutable, thus thread-safe.
 */
public record CallSettings(
        ForwardingSettings forwarding,
        long guardRetentionMs,
        long maxCallMs,
        long recordPatienceMs,
        long answerGraceMs,
        int maxKeptAnswerBytes,
        long expiryIntervalMs) {

    private static final long MINUTE_MS = 60_000;
    private static final long DAY_MS = 24 * 60 * MINUTE_MS;
    private static final int MIN_RETENTION_IN_CALLS = 10;

    public CallSettings {
        requirePositive("maxCallMs", maxCallMs);
        requirePositive("recordPatienceMs", recordPatienceMs);
        requirePositive("answerGraceMs", answerGraceMs);
        requirePositive("maxKeptAnswerBytes", maxKeptAnswerBytes);
        requirePositive("expiryIntervalMs", expiryIntervalMs);
        if (guardRetentionMs < MIN_RETENTION_IN_CALLS * maxCallMs) {
            throw new IllegalArgumentException("guardRetentionMs must be at least " + MIN_RETENTION_IN_CALLS
                    + " times maxCallMs but was " + guardRetentionMs);
        }
    }

    /** Returns settings that remember a key for a week. */
    public static CallSettings defaults() {
        return new CallSettings(
                ForwardingSettings.defaults(), 7 * DAY_MS, 10 * MINUTE_MS, 1_000, 1_000, 512 * 1024, MINUTE_MS);
    }

    private static void requirePositive(String name, long value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be above zero but was " + value);
        }
    }
}

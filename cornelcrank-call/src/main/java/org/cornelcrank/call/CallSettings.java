package org.cornelcrank.call;

import org.cornelcrank.core.ForwardingSettings;

/**
 * Limits and time spans of guarded calls at one daemon.
 *
 * <p>{@code guardRetentionMs} is how long a guard is kept after its intent record; {@code maxCallMs} is the maximum
 * time from the acceptance of a call to its deadline. {@code recordPatienceMs} is how long the response of a finished
 * call waits for its record to be read back before it is sent anyway. {@code answerGraceMs} is how long after the
 * deadline the forwarding daemon still waits for a reply. {@code maxKeptAnswerBytes} is the maximum size of a response
 * body that is stored. Invariants: all values are above zero; a guard is kept for at least ten times the maximum
 * duration of a call. Immutable, thus thread-safe.
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

    /** Returns settings that keep a guard for a week. */
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

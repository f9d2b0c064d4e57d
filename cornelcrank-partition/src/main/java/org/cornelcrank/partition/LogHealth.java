package org.cornelcrank.partition;

/**
 * Determines from the log's responses whether the log is available.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class LogHealth {

    /** A single failure may be transient, so it takes this many in a row to count as an outage. */
    private static final int MIN_FAILURES = 2;

    private final long timeoutMs;
    private int consecutiveFailures;
    private long failingSinceMs;
    private long lastFailureMs;
    private long oldestPendingRequestMs = Long.MAX_VALUE;

    LogHealth(ReadSettings settings) {
        this.timeoutMs = settings.waitMs() + settings.silenceMs();
    }

    void requestSent(long nowMs) {
        oldestPendingRequestMs = Math.min(oldestPendingRequestMs, nowMs);
    }

    void responseReceived(long nowMs) {
        consecutiveFailures = 0;
        oldestPendingRequestMs = Long.MAX_VALUE;
    }

    void requestFailed(long nowMs) {
        if (consecutiveFailures == 0) {
            failingSinceMs = nowMs;
        }
        consecutiveFailures++;
        lastFailureMs = nowMs;
        oldestPendingRequestMs = Long.MAX_VALUE;
    }

    /** Returns whether the log is available; true also if there has been no recent request. */
    boolean isAvailable(long nowMs) {
        boolean failing = consecutiveFailures >= MIN_FAILURES && nowMs - lastFailureMs <= timeoutMs;
        boolean timedOut = oldestPendingRequestMs != Long.MAX_VALUE && nowMs - oldestPendingRequestMs > timeoutMs;
        return !failing && !timedOut;
    }

    /** Returns for how long the log has been unavailable, in ms; zero while it is available. */
    long unavailableForMs(long nowMs) {
        if (isAvailable(nowMs)) {
            return 0;
        }
        long sinceMs = consecutiveFailures == 0 ? nowMs : failingSinceMs;
        return nowMs - Math.min(oldestPendingRequestMs, sinceMs);
    }
}

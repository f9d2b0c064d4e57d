package org.cornelcrank.partition;

/**
 * Judges from the answers of the log whether it answers at present.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class LogHealth {

    /** One failure alone may be chance; failures in a row without an answer between are not. */
    private static final int FAILURES_OF_SILENCE = 2;

    private final long patienceMs;
    private int failuresInRow;
    private long failingSinceMs;
    private long lastFailureMs;
    private long oldestUnansweredMs = Long.MAX_VALUE;

    LogHealth(ReadSettings settings) {
        this.patienceMs = settings.waitMs() + settings.silenceMs();
    }

    void asked(long nowMs) {
        oldestUnansweredMs = Math.min(oldestUnansweredMs, nowMs);
    }

    void answered(long nowMs) {
        failuresInRow = 0;
        oldestUnansweredMs = Long.MAX_VALUE;
    }

    void failed(long nowMs) {
        if (failuresInRow == 0) {
            failingSinceMs = nowMs;
        }
        failuresInRow++;
        lastFailureMs = nowMs;
        oldestUnansweredMs = Long.MAX_VALUE;
    }

    /** Returns whether the log answers; true also where nothing was asked of it lately. */
    boolean answers(long nowMs) {
        boolean failing = failuresInRow >= FAILURES_OF_SILENCE && nowMs - lastFailureMs <= patienceMs;
        boolean silent = oldestUnansweredMs != Long.MAX_VALUE && nowMs - oldestUnansweredMs > patienceMs;
        return !failing && !silent;
    }

    /** Returns for how long the log has not answered, zero while it does. */
    long silentForMs(long nowMs) {
        if (answers(nowMs)) {
            return 0;
        }
        long sinceMs = failuresInRow == 0 ? nowMs : failingSinceMs;
        return nowMs - Math.min(oldestUnansweredMs, sinceMs);
    }
}

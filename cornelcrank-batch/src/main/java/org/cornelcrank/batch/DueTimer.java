package org.cornelcrank.batch;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.TimerKey;

/**
 * Timer shared by several users, due at the earliest time that any of them requested.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class DueTimer {

    private final TimerKey key;
    private long dueAtMs = Long.MAX_VALUE;

    DueTimer(TimerKey key) {
        this.key = key;
    }

    /** Ensures that the timer is due no later than the given time. */
    void arm(long atMs, Effects out) {
        if (atMs < dueAtMs) {
            dueAtMs = atMs;
            out.schedule(key, atMs);
        }
    }

    /** Called when the timer was due; users that are still waiting arm it again. */
    void fired() {
        dueAtMs = Long.MAX_VALUE;
    }

    boolean hasKey(TimerKey other) {
        return key.equals(other);
    }
}

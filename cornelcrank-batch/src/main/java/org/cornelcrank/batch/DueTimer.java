package org.cornelcrank.batch;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.TimerKey;

/**
 * One timer that many wait for: it is due when the first of them is.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class DueTimer {

    private final TimerKey key;
    private long dueAtMs = Long.MAX_VALUE;

    DueTimer(TimerKey key) {
        this.key = key;
    }

    /** Makes the timer due at the time or before. */
    void arm(long atMs, Effects out) {
        if (atMs < dueAtMs) {
            dueAtMs = atMs;
            out.schedule(key, atMs);
        }
    }

    /** Is told that the timer was due; those who still wait arm it again. */
    void fired() {
        dueAtMs = Long.MAX_VALUE;
    }

    boolean is(TimerKey other) {
        return key.equals(other);
    }
}

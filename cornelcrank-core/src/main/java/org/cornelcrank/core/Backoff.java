package org.cornelcrank.core;

import java.util.random.RandomGenerator;

/**
 * Computes exponentially growing retry delays with random jitter, so that daemons do not retry in lockstep.
 *
 * <p>Invariant: a delay lies between half the current step and the full step, which doubles up to a maximum. Not
 * thread-safe.
 */
public final class Backoff {

    private final long baseMs;
    private final long maxMs;
    private final RandomGenerator random;
    private long stepMs;

    /** Creates a backoff with the given first and longest step, both in ms. */
    public Backoff(long baseMs, long maxMs, RandomGenerator random) {
        this.baseMs = baseMs;
        this.maxMs = maxMs;
        this.random = random;
        this.stepMs = baseMs;
    }

    /** Returns the next delay in ms and doubles the step. */
    public long nextDelayMs() {
        long delayMs = stepMs / 2 + random.nextLong(stepMs / 2 + 1);
        stepMs = Math.min(stepMs * 2, maxMs);
        return Math.max(1, delayMs);
    }

    /** Returns to the first step. */
    public void reset() {
        stepMs = baseMs;
    }
}

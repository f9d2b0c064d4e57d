package org.cornelcrank.core;

import java.util.random.RandomGenerator;

/**
 * Gives growing delays between attempts, spread at random so that daemons do not retry in step.
 *
 * <p>Invariant: a delay lies between half of and the whole present step, which doubles up to a maximum. Not thread-safe.
 */
public final class Backoff {

    private final long baseMs;
    private final long maxMs;
    private final RandomGenerator random;
    private long stepMs;

    /** Creates a backoff whose first step is the base, both in ms. */
    public Backoff(long baseMs, long maxMs, RandomGenerator random) {
        this.baseMs = baseMs;
        this.maxMs = maxMs;
        this.random = random;
        this.stepMs = baseMs;
    }

    /** Returns the next delay in ms, and makes the step after it longer. */
    public long nextDelayMs() {
        long delayMs = stepMs / 2 + random.nextLong(stepMs / 2 + 1);
        stepMs = Math.min(stepMs * 2, maxMs);
        return Math.max(1, delayMs);
    }

    /** Goes back to the first step. */
    public void reset() {
        stepMs = baseMs;
    }
}

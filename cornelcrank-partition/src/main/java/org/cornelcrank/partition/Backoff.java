package org.cornelcrank.partition;

import java.util.random.RandomGenerator;

/**
 * Gives growing delays between attempts, spread at random so that daemons do not retry in step.
 *
 * <p>Invariant: a delay lies between half of and the whole present step, which doubles up to a maximum. Not thread-safe.
 */
final class Backoff {

    private final long baseMs;
    private final long maxMs;
    private final RandomGenerator random;
    private long stepMs;

    Backoff(long baseMs, long maxMs, RandomGenerator random) {
        this.baseMs = baseMs;
        this.maxMs = maxMs;
        this.random = random;
        this.stepMs = baseMs;
    }

    long nextDelayMs() {
        long delayMs = stepMs / 2 + random.nextLong(stepMs / 2 + 1);
        stepMs = Math.min(stepMs * 2, maxMs);
        return Math.max(1, delayMs);
    }

    void reset() {
        stepMs = baseMs;
    }
}

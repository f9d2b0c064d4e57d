package org.cornelcrank.server.loop;

/**
 * Tells the time in ms since the epoch, never going back while the process runs.
 *
 * <p>Takes the wall clock once and then follows the machine's monotonic clock, so that a correction of the wall clock
 * neither stalls nor fires timers. Thread-safe.
 */
public final class MonotonicClock {

    private static final long NANOS_PER_MS = 1_000_000;

    private final long startedAtMs = System.currentTimeMillis();
    private final long startedAtNanos = System.nanoTime();

    /** Returns the present time in ms since the epoch. */
    public long nowMs() {
        return startedAtMs + (System.nanoTime() - startedAtNanos) / NANOS_PER_MS;
    }
}

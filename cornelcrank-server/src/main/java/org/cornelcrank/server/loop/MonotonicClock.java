package org.cornelcrank.server.loop;

/**
 * Clock that returns the time in ms since the epoch and never goes back while the process runs.
 *
 * <p>Reads the wall clock once and then follows the machine's monotonic clock, so that a correction of the wall clock
 * neither delays timers nor fires them early. Thread-safe.
 */
public final class MonotonicClock {

    private static final long NANOS_PER_MS = 1_000_000;

    private final long startedAtMs = System.currentTimeMillis();
    private final long startedAtNanos = System.nanoTime();

    /** Returns the current time in ms since the epoch. */
    public long nowMs() {
        return startedAtMs + (System.nanoTime() - startedAtNanos) / NANOS_PER_MS;
    }
}

package org.cornelcrank.batch;

/**
 * Bounds the finished results that this daemon holds in memory until they are read back from the log.
 *
 * <p>Invariant: after the bound is reached, no item starts until the held bytes have fallen to half of it; results of
 * items that were already running may exceed the bound. Not thread-safe: confined to the daemon's event loop.
 */
final class ResultBudget {

    private final long maxBytes;
    private long heldBytes;
    private boolean exhausted;

    ResultBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    void hold(long bytes) {
        heldBytes += bytes;
        if (heldBytes >= maxBytes) {
            exhausted = true;
        }
    }

    /** Frees bytes; returns whether this allows items to start again. */
    boolean release(long bytes) {
        heldBytes -= bytes;
        if (exhausted && heldBytes <= maxBytes / 2) {
            exhausted = false;
            return true;
        }
        return false;
    }

    boolean exhausted() {
        return exhausted;
    }

    long heldBytes() {
        return heldBytes;
    }
}

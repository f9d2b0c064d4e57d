package org.cornelcrank.batch;

/**
 * Bounds the finished results that this daemon holds because the log has not taken them.
 *
 * <p>Invariant: no item starts between reaching the bound and falling to half of it; the results of items that were
 * running may exceed the bound. Not thread-safe: confined to the daemon's event loop.
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

    /** Frees bytes; returns whether items may start again that might not before. */
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

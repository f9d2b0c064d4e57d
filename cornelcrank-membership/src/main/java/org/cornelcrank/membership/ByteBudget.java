package org.cornelcrank.membership;

/**
 * Limits bytes a second, with a burst saved up while less is sent.
 *
 * <p>Invariant: over any span, no more bytes pass than the rate allows plus the burst and one overdraft. Not thread-safe:
 * confined to the daemon's event loop.
 */
final class ByteBudget {

    private static final int BURST_S = 16;

    private final int bytesPerSecond;
    private double available;
    private long refilledAtMs;

    ByteBudget(int bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
        this.available = (double) bytesPerSecond * BURST_S;
        this.refilledAtMs = Long.MIN_VALUE;
    }

    /** Returns whether something may be sent now. */
    boolean allows(long nowMs) {
        refill(nowMs);
        return available > 0;
    }

    void spend(int bytes) {
        available -= bytes;
    }

    long availableBytes(long nowMs) {
        refill(nowMs);
        return (long) available;
    }

    private void refill(long nowMs) {
        if (refilledAtMs != Long.MIN_VALUE && nowMs > refilledAtMs) {
            double earned = (nowMs - refilledAtMs) * bytesPerSecond / 1000.0;
            available = Math.min((double) bytesPerSecond * BURST_S, available + earned);
        }
        refilledAtMs = Math.max(refilledAtMs, nowMs);
    }
}

package org.cornelcrank.membership;

/**
 * A token bucket that limits the number of bytes sent per second.
 *
 * <p>Invariant: over any period, the bytes spent do not exceed the rate plus the burst of {@link #BURST_S} seconds plus
 * one message that overdraws the budget. Not thread-safe: confined to the daemon's event loop.
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

    /** Returns whether a message may be sent now. */
    boolean allows(long nowMs) {
        refill(nowMs);
        return available > 0;
    }

    /** Returns the time in ms from which a message may be sent; {@code nowMs} if that is now. */
    long allowsAtMs(long nowMs) {
        if (allows(nowMs)) {
            return nowMs;
        }
        return nowMs + 1 + (long) (-available * 1000 / bytesPerSecond);
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

package org.cornelcrank.standin;

/**
 * A token bucket that allows a steady rate and bursts of up to one second of that rate.
 *
 * <p>Not thread-safe.
 */
final class RateLimit {

    private static final double MS_PER_S = 1000.0;

    private final double ratePerSecond;
    private double available;
    private long refilledAtMs;

    RateLimit(double ratePerSecond, long nowMs) {
        if (!(ratePerSecond > 0)) {
            throw new IllegalArgumentException("rate must be above zero but was " + ratePerSecond);
        }
        this.ratePerSecond = ratePerSecond;
        this.available = ratePerSecond;
        this.refilledAtMs = nowMs;
    }

    /**
     * Takes the amount and returns true if the bucket holds at least one token, or less for amounts below one; a larger
     * amount overdraws the bucket.
     */
    boolean tryTake(double amount, long nowMs) {
        refill(nowMs);
        if (available < Math.min(amount, 1.0)) {
            return false;
        }
        available -= amount;
        return true;
    }

    /** Returns the time in seconds, rounded up, after which a retry may succeed. */
    long retryAfterSeconds(long nowMs) {
        refill(nowMs);
        return Math.max(1, (long) Math.ceil((1.0 - available) / ratePerSecond));
    }

    private void refill(long nowMs) {
        long passedMs = Math.max(0, nowMs - refilledAtMs);
        available = Math.min(ratePerSecond, available + passedMs / MS_PER_S * ratePerSecond);
        refilledAtMs = Math.max(refilledAtMs, nowMs);
    }
}

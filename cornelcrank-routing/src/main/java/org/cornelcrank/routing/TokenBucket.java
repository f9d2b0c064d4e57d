package org.cornelcrank.routing;

/**
 * Limits an average rate with bursts up to a depth.
 *
 * <p>May be overdrawn by costs that are known only afterwards. Not thread-safe: confined to the daemon's event loop.
 */
final class TokenBucket {

    private double level;
    private long filledAtMs;

    TokenBucket(double depth, long nowMs) {
        this.level = depth;
        this.filledAtMs = nowMs;
    }

    /** Takes the cost if the bucket holds enough; returns 0, or else the time in ms after which it will. */
    long tryTake(double cost, double ratePerSecond, double depth, long nowMs) {
        fill(ratePerSecond, depth, nowMs);
        double needed = Math.min(cost, depth);
        if (level >= needed) {
            level -= cost;
            return 0;
        }
        return (long) Math.ceil((needed - level) * 1_000 / ratePerSecond);
    }

    /** Returns what the bucket holds now. */
    double level(double ratePerSecond, double depth, long nowMs) {
        fill(ratePerSecond, depth, nowMs);
        return level;
    }

    /** Returns a cost that was taken but not incurred; what exceeds the depth is lost. */
    void giveBack(double cost) {
        level += cost;
    }

    /** Takes a cost that has already been incurred. */
    void take(double cost) {
        level -= cost;
    }

    /** Returns whether the bucket would be full at the current time, so that discarding it has no effect. */
    boolean full(double ratePerSecond, double depth, long nowMs) {
        fill(ratePerSecond, depth, nowMs);
        return level >= depth;
    }

    private void fill(double ratePerSecond, double depth, long nowMs) {
        double added = Math.max(0, nowMs - filledAtMs) * ratePerSecond / 1_000;
        level = Math.min(depth, level + added);
        filledAtMs = Math.max(filledAtMs, nowMs);
    }
}

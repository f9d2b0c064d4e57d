package org.cornelcrank.routing;

/**
 * Computes how many slots of a target batch work leaves free for the next online requests.
 *
 * <p>The reserve is the smallest number of slots that Poisson arrivals exceed with at most the given probability,
 * during the time that revoking a batch permit takes, less the wait that callers tolerate. The arrival rate is the
 * higher of the recent and the longer-term one. Not thread-safe: confined to the daemon's event loop.
 */
final class OnlineReserve {

    private static final double RECENT_WINDOW_MS = 1_000;
    private static final double LONG_WINDOW_MS = 30_000;
    private static final double REVOCATION_SMOOTHING_FACTOR = 0.2;
    private static final double INITIAL_REVOCATION_MS = 10;

    private final double missShare;
    private final long toleratedWaitMs;
    private double recentCount;
    private double longCount;
    private long countedAtMs;
    private double revocationMs = INITIAL_REVOCATION_MS;

    OnlineReserve(double missShare, long toleratedWaitMs) {
        this.missShare = missShare;
        this.toleratedWaitMs = toleratedWaitMs;
    }

    void onlineArrived(long nowMs) {
        decay(nowMs);
        recentCount++;
        longCount++;
    }

    /** Records how long it took until a revoked permit was released. */
    void revocationTook(long elapsedMs) {
        revocationMs += REVOCATION_SMOOTHING_FACTOR * (elapsedMs - revocationMs);
    }

    double revocationMs() {
        return revocationMs;
    }

    /** Returns the number of slots to keep free, at most half of them. */
    int slots(int capacity, long nowMs) {
        decay(nowMs);
        double ratePerMs = Math.max(recentCount / RECENT_WINDOW_MS, longCount / LONG_WINDOW_MS);
        double expectedArrivals = ratePerMs * Math.max(0, revocationMs - toleratedWaitMs);
        double probability = Math.exp(-expectedArrivals);
        double cumulativeProbability = probability;
        int reserve = 0;
        while (1 - cumulativeProbability > missShare && reserve < capacity / 2) {
            reserve++;
            probability *= expectedArrivals / reserve;
            cumulativeProbability += probability;
        }
        return reserve;
    }

    private void decay(long nowMs) {
        double elapsedMs = Math.max(0, nowMs - countedAtMs);
        recentCount *= Math.exp(-elapsedMs / RECENT_WINDOW_MS);
        longCount *= Math.exp(-elapsedMs / LONG_WINDOW_MS);
        countedAtMs = Math.max(countedAtMs, nowMs);
    }
}

package org.cornelcrank.fleet;

/**
 * Settings of the reconciliation of targets.
 *
 * <p>{@code tickMs} is the interval between reconciliations. {@code maxOrdersAtOnce} limits the concurrent orders of a
 * region, as the weight store limits the rate of its downloads. {@code orderTimeoutMs} is the longest time that an
 * order may be in flight or take to be carried out. {@code claimFreshMs} is the maximum age of the proof of a claim
 * when an order is sent. {@code bakeMs} is how long a new version is watched on one target before the next one gets it.
 * Invariant: all are positive. Immutable, thus thread-safe.
 */
public record FleetSettings(
        long tickMs,
        int maxOrdersAtOnce,
        long orderTimeoutMs,
        long claimFreshMs,
        long reportRefreshMs,
        long reportStaleMs,
        long retryBaseMs,
        long retryMaxMs,
        long bakeMs,
        int minFailures) {

    public FleetSettings {
        requirePositive("tickMs", tickMs);
        requirePositive("maxOrdersAtOnce", maxOrdersAtOnce);
        requirePositive("orderTimeoutMs", orderTimeoutMs);
        requirePositive("claimFreshMs", claimFreshMs);
        requirePositive("reportRefreshMs", reportRefreshMs);
        requirePositive("reportStaleMs", reportStaleMs);
        requirePositive("retryBaseMs", retryBaseMs);
        requirePositive("retryMaxMs", retryMaxMs);
        requirePositive("bakeMs", bakeMs);
        requirePositive("minFailures", minFailures);
    }

    /** Returns settings for engines that load a model within two minutes. */
    public static FleetSettings defaults() {
        return new FleetSettings(2_000, 2, 120_000, 5_000, 30_000, 90_000, 10_000, 300_000, 30_000, 5);
    }

    /** Returns how long a new claim holder waits for the orders of the previous one to time out. */
    long settleMs() {
        return orderTimeoutMs + claimFreshMs;
    }

    private static void requirePositive(String name, long value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be positive but was " + value);
        }
    }
}

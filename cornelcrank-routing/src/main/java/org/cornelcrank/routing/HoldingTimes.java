package org.cornelcrank.routing;

import java.util.Map;
import java.util.TreeMap;

import org.cornelcrank.core.ServiceName;

/**
 * Estimates how long requests of each service hold a slot, by exponentially weighted moving averages of the holding
 * time and of its deviation.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class HoldingTimes {

    private static final double DEFAULT_MEAN_MS = 1_000;
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double DEVIATIONS = 2;

    private final Map<ServiceName, Estimate> estimates = new TreeMap<>();

    void completed(ServiceName service, long heldMs) {
        estimates.computeIfAbsent(service, key -> new Estimate(heldMs)).add(heldMs);
    }

    /** Records a request that failed before its end; it would have held its slot for at least this long. */
    void failed(ServiceName service, long heldMs) {
        Estimate estimate = estimates.get(service);
        if (estimate != null && heldMs > estimate.meanMs) {
            estimate.add(heldMs);
        }
    }

    /** Returns the mean in ms, a default until the first request has completed. */
    double meanMs(ServiceName service) {
        Estimate estimate = estimates.get(service);
        return estimate == null ? DEFAULT_MEAN_MS : estimate.meanMs;
    }

    /** Returns a holding time in ms that only a few requests exceed, 0 until the first request has completed. */
    long upperBoundMs(ServiceName service) {
        Estimate estimate = estimates.get(service);
        return estimate == null ? 0 : (long) (estimate.meanMs + DEVIATIONS * estimate.deviationMs);
    }

    /** Returns the mean over all services in ms. */
    double meanMs() {
        return estimates.values().stream()
                .mapToDouble(estimate -> estimate.meanMs)
                .average()
                .orElse(DEFAULT_MEAN_MS);
    }

    private static final class Estimate {

        private double meanMs;
        private double deviationMs;

        Estimate(long firstMs) {
            meanMs = firstMs;
            deviationMs = firstMs / 4.0;
        }

        void add(long heldMs) {
            deviationMs += SMOOTHING_FACTOR * (Math.abs(heldMs - meanMs) - deviationMs);
            meanMs += SMOOTHING_FACTOR * (heldMs - meanMs);
        }
    }
}

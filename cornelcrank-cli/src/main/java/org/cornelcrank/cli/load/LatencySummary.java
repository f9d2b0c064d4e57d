package org.cornelcrank.cli.load;

import java.util.ArrayList;
import java.util.List;

import org.HdrHistogram.Histogram;

/**
 * Percentiles of one kind of latency in milliseconds, with a curve for plots.
 *
 * <p>Immutable, thus thread-safe.
 */
public record LatencySummary(long count, double p50Ms, double p90Ms, double p99Ms, double maxMs, List<Point> curve) {

    private static final double US_PER_MS = 1_000;
    private static final double[] CURVE_PERCENTILES = {0, 10, 25, 50, 75, 90, 95, 97.5, 99, 99.5, 99.9, 99.99};

    public LatencySummary {
        curve = List.copyOf(curve);
    }

    /** A point of the curve. */
    public record Point(double percentile, double ms) {}

    static LatencySummary of(Histogram us) {
        List<Point> curve = new ArrayList<>();
        for (double percentile : CURVE_PERCENTILES) {
            curve.add(new Point(percentile, us.getValueAtPercentile(percentile) / US_PER_MS));
        }
        return new LatencySummary(
                us.getTotalCount(),
                us.getValueAtPercentile(50) / US_PER_MS,
                us.getValueAtPercentile(90) / US_PER_MS,
                us.getValueAtPercentile(99) / US_PER_MS,
                us.getMaxValue() / US_PER_MS,
                curve);
    }
}

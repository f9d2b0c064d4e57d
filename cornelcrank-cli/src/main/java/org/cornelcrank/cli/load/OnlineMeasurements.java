package org.cornelcrank.cli.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.cornelcrank.cli.client.StreamedResponse;

/**
 * Collects latencies as seen by online callers, in microseconds (us).
 *
 * <p>The time to the first token is measured from the planned arrival, so that a stalled generator cannot hide waiting
 * times (coordinated omission). Thread-safe.
 */
final class OnlineMeasurements {

    private static final long MAX_LATENCY_US = 120_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long NS_PER_US = 1_000;

    private final Histogram firstTokenUs = new ConcurrentHistogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    private final Histogram betweenTokensUs = new ConcurrentHistogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    private final Histogram totalUs = new ConcurrentHistogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    private final AtomicLong complete = new AtomicLong();
    private final AtomicLong tokens = new AtomicLong();
    private final AtomicLong maxSendDelayUs = new AtomicLong();
    private final Map<String, AtomicLong> failures = new ConcurrentSkipListMap<>();

    /**
     * Records a response; {@code sendDelayNs} is the delay between the planned and the actual sending of the request.
     */
    void record(StreamedResponse response, int expectedTokens, long sendDelayNs) {
        maxSendDelayUs.accumulateAndGet(sendDelayNs / NS_PER_US, Math::max);
        tokens.addAndGet(response.tokens());
        if (!response.complete() || response.tokens() != expectedTokens) {
            String verdict = response.verdict().isEmpty() ? "no verdict" : response.verdict();
            failures.computeIfAbsent(response.status() + " " + verdict, kind -> new AtomicLong())
                    .incrementAndGet();
            return;
        }
        complete.incrementAndGet();
        firstTokenUs.recordValue(toClampedUs(response.tokenTimesNs().get(0) + sendDelayNs));
        totalUs.recordValue(toClampedUs(response.totalNs() + sendDelayNs));
        for (int i = 1; i < response.tokens(); i++) {
            betweenTokensUs.recordValue(toClampedUs(
                    response.tokenTimesNs().get(i) - response.tokenTimesNs().get(i - 1)));
        }
    }

    Histogram firstTokenUs() {
        return firstTokenUs;
    }

    Histogram betweenTokensUs() {
        return betweenTokensUs;
    }

    Histogram totalUs() {
        return totalUs;
    }

    long complete() {
        return complete.get();
    }

    long tokens() {
        return tokens.get();
    }

    /** Returns the maximum delay between the planned and the actual sending of a request. */
    long maxSendDelayUs() {
        return maxSendDelayUs.get();
    }

    Map<String, Long> failures() {
        Map<String, Long> counts = new TreeMap<>();
        failures.forEach((kind, count) -> counts.put(kind, count.get()));
        return counts;
    }

    private static long toClampedUs(long ns) {
        return Math.min(MAX_LATENCY_US, Math.max(0, ns / NS_PER_US));
    }
}

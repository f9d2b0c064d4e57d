package org.cornelcrank.cli.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.cornelcrank.cli.client.StreamedResponse;

/**
 * Gathers what online callers saw, in microseconds (us).
 *
 * <p>The time to the first token counts from the planned arrival, so that a stalled generator cannot hide waiting
 * (coordinated omission). Thread-safe.
 */
final class OnlineMeasurements {

    private static final long HIGHEST_US = 120_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long NS_PER_US = 1_000;

    private final Histogram firstTokenUs = new ConcurrentHistogram(HIGHEST_US, SIGNIFICANT_DIGITS);
    private final Histogram betweenTokensUs = new ConcurrentHistogram(HIGHEST_US, SIGNIFICANT_DIGITS);
    private final Histogram totalUs = new ConcurrentHistogram(HIGHEST_US, SIGNIFICANT_DIGITS);
    private final AtomicLong complete = new AtomicLong();
    private final AtomicLong tokens = new AtomicLong();
    private final AtomicLong latestSendUs = new AtomicLong();
    private final Map<String, AtomicLong> failures = new ConcurrentSkipListMap<>();

    /** Records an answer; {@code lateNs} is how much later than planned the request was sent. */
    void record(StreamedResponse answer, int expectedTokens, long lateNs) {
        latestSendUs.accumulateAndGet(lateNs / NS_PER_US, Math::max);
        tokens.addAndGet(answer.tokens());
        if (!answer.complete() || answer.tokens() != expectedTokens) {
            String verdict = answer.verdict().isEmpty() ? "no verdict" : answer.verdict();
            failures.computeIfAbsent(answer.status() + " " + verdict, kind -> new AtomicLong())
                    .incrementAndGet();
            return;
        }
        complete.incrementAndGet();
        firstTokenUs.recordValue(inRange(answer.tokenAtNs().get(0) + lateNs));
        totalUs.recordValue(inRange(answer.totalNs() + lateNs));
        for (int i = 1; i < answer.tokens(); i++) {
            betweenTokensUs.recordValue(
                    inRange(answer.tokenAtNs().get(i) - answer.tokenAtNs().get(i - 1)));
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

    /** Returns the greatest delay between a planned and a real sending. */
    long latestSendUs() {
        return latestSendUs.get();
    }

    Map<String, Long> failures() {
        Map<String, Long> counts = new TreeMap<>();
        failures.forEach((kind, count) -> counts.put(kind, count.get()));
        return counts;
    }

    private static long inRange(long ns) {
        return Math.min(HIGHEST_US, Math.max(0, ns / NS_PER_US));
    }
}

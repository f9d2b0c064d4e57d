package org.cornelcrank.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * The cache events that an engine publishes: delayed, bounded in number, and with gaps where events were lost.
 *
 * <p>Invariant: sequence numbers increase, and each lost event leaves a gap. Not thread-safe: confined to the engine's
 * worker.
 */
final class CacheEventLog {

    private static final int MAX_EVENTS = 4096;

    private final long lagMs;
    private final double lossRate;
    private final RandomGenerator random;
    private final ArrayDeque<PublishedEvent> events = new ArrayDeque<>();
    private long nextSequence;

    CacheEventLog(long lagMs, double lossRate, RandomGenerator random) {
        this.lagMs = lagMs;
        this.lossRate = lossRate;
        this.random = Objects.requireNonNull(random, "random must not be null");
    }

    /** A published event. */
    record PublishedEvent(long sequence, long prefixHash, boolean cached, long visibleAtMs) {}

    /** The events after a sequence number, the next number to read, and the oldest that is still available. */
    record Page(List<PublishedEvent> events, long next, long oldest) {}

    void add(long prefixHash, boolean cached, long nowMs) {
        long sequence = nextSequence++;
        if (random.nextDouble() < lossRate) {
            return;
        }
        events.addLast(new PublishedEvent(sequence, prefixHash, cached, nowMs + lagMs));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }

    Page readAfter(long sequence, long nowMs) {
        List<PublishedEvent> page = new ArrayList<>();
        for (PublishedEvent event : events) {
            if (event.sequence() > sequence && event.visibleAtMs() <= nowMs) {
                page.add(event);
            }
        }
        long next = page.isEmpty() ? sequence + 1 : page.get(page.size() - 1).sequence() + 1;
        long oldest = events.isEmpty() ? nextSequence : events.peekFirst().sequence();
        return new Page(page, next, oldest);
    }
}

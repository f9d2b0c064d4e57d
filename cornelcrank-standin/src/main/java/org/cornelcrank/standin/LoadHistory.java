package org.cornelcrank.standin;

import java.util.ArrayDeque;

/**
 * Remembers an engine's load for long enough to report it late.
 *
 * <p>Not thread-safe: confined to the engine's worker.
 */
final class LoadHistory {

    private final long lagMs;
    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    LoadHistory(long lagMs, long nowMs) {
        this.lagMs = lagMs;
        samples.add(new Sample(nowMs, 0, 0));
    }

    /** The load at one time. */
    record Sample(long measuredAtMs, int running, int queued) {}

    void record(int running, int queued, long nowMs) {
        Sample last = samples.peekLast();
        if (last.running() == running && last.queued() == queued) {
            return;
        }
        if (last.measuredAtMs() == nowMs && samples.size() > 1) {
            samples.removeLast();
        }
        samples.addLast(new Sample(nowMs, running, queued));
        report(nowMs);
    }

    /** Returns the load as it was one lag ago. */
    Sample report(long nowMs) {
        long shownMs = nowMs - lagMs;
        Sample shown = samples.removeFirst();
        while (!samples.isEmpty() && samples.peekFirst().measuredAtMs() <= shownMs) {
            shown = samples.removeFirst();
        }
        samples.addFirst(shown);
        return new Sample(shownMs, shown.running(), shown.queued());
    }
}

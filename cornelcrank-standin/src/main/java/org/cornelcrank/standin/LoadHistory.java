package org.cornelcrank.standin;

import java.util.ArrayDeque;

/**
 * The recent load of an engine, kept long enough to report it with a delay.
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

    /** The load at a point in time. */
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

    /** Returns the load at the current time minus the lag. */
    Sample report(long nowMs) {
        long visibleMs = nowMs - lagMs;
        Sample visible = samples.removeFirst();
        while (!samples.isEmpty() && samples.peekFirst().measuredAtMs() <= visibleMs) {
            visible = samples.removeFirst();
        }
        samples.addFirst(visible);
        return new Sample(visibleMs, visible.running(), visible.queued());
    }
}

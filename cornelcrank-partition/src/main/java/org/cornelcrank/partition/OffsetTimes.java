package org.cornelcrank.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.cornelcrank.partition.wire.OffsetTime;

/**
 * Remembers coarsely when the records of a stream were appended.
 *
 * <p>Invariant: holds at most one entry for each {@code spacingMs} within {@code keepMs}. Times are the log's own, in ms
 * since the epoch. Not thread-safe.
 */
final class OffsetTimes {

    private final long spacingMs;
    private final long keepMs;
    private final TreeMap<Long, Long> appendedAtMsByOffset = new TreeMap<>();

    OffsetTimes(long spacingMs, long keepMs) {
        this.spacingMs = spacingMs;
        this.keepMs = keepMs;
    }

    void add(long offset, long appendedAtMs) {
        Map.Entry<Long, Long> last = appendedAtMsByOffset.lastEntry();
        if (last != null && appendedAtMs < last.getValue() + spacingMs) {
            return;
        }
        appendedAtMsByOffset.put(offset, appendedAtMs);
        while (appendedAtMsByOffset.firstEntry().getValue() < appendedAtMs - keepMs) {
            appendedAtMsByOffset.pollFirstEntry();
        }
    }

    /**
     * Returns an offset such that all records before it were appended before the given time; coarse, never too high.
     */
    long firstOffsetSince(long timeMs) {
        for (Map.Entry<Long, Long> entry : appendedAtMsByOffset.entrySet()) {
            if (entry.getValue() + spacingMs > timeMs) {
                return entry.getKey();
            }
        }
        return Long.MAX_VALUE;
    }

    List<OffsetTime> toWire() {
        List<OffsetTime> times = new ArrayList<>();
        appendedAtMsByOffset.forEach((offset, appendedAtMs) -> times.add(OffsetTime.newBuilder()
                .setOffset(offset)
                .setAppendedAtMs(appendedAtMs)
                .build()));
        return times;
    }

    void restore(List<OffsetTime> times) {
        appendedAtMsByOffset.clear();
        for (OffsetTime time : times) {
            appendedAtMsByOffset.put(time.getOffset(), time.getAppendedAtMs());
        }
    }
}

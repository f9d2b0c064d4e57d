package org.cornelcrank.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.cornelcrank.partition.wire.OffsetTime;

/**
 * A sparse index from offsets of a stream to the times at which their records were appended.
 *
 * <p>Invariant: holds at most one entry per {@code spacingMs}, and no entry older than {@code retentionMs}. Times are
 * those of the log's clock, in ms since the Unix epoch. Not thread-safe.
 */
final class OffsetTimeIndex {

    private final long spacingMs;
    private final long retentionMs;
    private final TreeMap<Long, Long> appendedAtMsByOffset = new TreeMap<>();

    OffsetTimeIndex(long spacingMs, long retentionMs) {
        this.spacingMs = spacingMs;
        this.retentionMs = retentionMs;
    }

    void add(long offset, long appendedAtMs) {
        Map.Entry<Long, Long> last = appendedAtMsByOffset.lastEntry();
        if (last != null && appendedAtMs < last.getValue() + spacingMs) {
            return;
        }
        appendedAtMsByOffset.put(offset, appendedAtMs);
        while (appendedAtMsByOffset.firstEntry().getValue() < appendedAtMs - retentionMs) {
            appendedAtMsByOffset.pollFirstEntry();
        }
    }

    /**
     * Returns an offset such that all records before it were appended before the given time. The offset is approximate
     * but never too high.
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

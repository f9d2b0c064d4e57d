package org.cornelcrank.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * An append-only stream with consecutive offsets and limited retention.
 *
 * <p>Invariant: the stored records are those from {@link #oldestOffset()} (inclusive) to {@link #nextOffset()}
 * (exclusive). Not thread-safe.
 */
final class LogStream {

    private static final int COMPACTION_RECORDS = 1024;

    private final long retentionMs;
    private final List<StoredRecord> records = new ArrayList<>();
    private int expired;
    private long nextOffset;

    LogStream(long retentionMs) {
        this.retentionMs = retentionMs;
    }

    /** A record with its offset and append time. */
    record StoredRecord(long offset, long appendedAtMs, byte[] payload) {}

    /** The records returned by a read, the offset of the next read, and the oldest offset of the stream. */
    record Page(List<StoredRecord> records, long nextOffset, long oldestOffset) {}

    long append(byte[] payload, long nowMs) {
        expire(nowMs);
        records.add(new StoredRecord(nextOffset, nowMs, payload));
        return nextOffset++;
    }

    Page read(long from, long maxBytes, long nowMs) {
        expire(nowMs);
        long first = Math.max(from < 0 ? nextOffset + from : from, oldestOffset());
        List<StoredRecord> page = new ArrayList<>();
        long bytes = 0;
        for (long offset = first; offset < nextOffset; offset++) {
            StoredRecord candidate = records.get((int) (offset - oldestOffset()) + expired);
            bytes += candidate.payload().length;
            if (!page.isEmpty() && bytes > maxBytes) {
                break;
            }
            page.add(candidate);
        }
        long next =
                page.isEmpty() ? Math.max(first, 0) : page.get(page.size() - 1).offset() + 1;
        return new Page(page, next, oldestOffset());
    }

    long nextOffset() {
        return nextOffset;
    }

    long oldestOffset() {
        return nextOffset - records.size() + expired;
    }

    private void expire(long nowMs) {
        while (expired < records.size() && records.get(expired).appendedAtMs() < nowMs - retentionMs) {
            records.set(expired, null);
            expired++;
        }
        if (expired > COMPACTION_RECORDS && expired > records.size() / 2) {
            records.subList(0, expired).clear();
            expired = 0;
        }
    }
}

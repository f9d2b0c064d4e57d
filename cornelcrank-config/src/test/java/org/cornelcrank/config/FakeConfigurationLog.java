package org.cornelcrank.config;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.LogRecord;

/** In-memory log that can expire records, be unavailable, lose responses and repeat appends. */
final class FakeConfigurationLog {

    private final List<LogRecord> records = new ArrayList<>();
    private long oldestOffset;
    boolean unavailable;
    int responsesToLose;
    int appendsToRepeat;

    long nextOffset() {
        return records.size();
    }

    void expireBefore(long offset) {
        oldestOffset = Math.max(oldestOffset, offset);
    }

    List<LogRecord> records() {
        return records;
    }

    void toggleOutage() {
        unavailable = !unavailable;
    }

    void loseNextResponse() {
        responsesToLose = 1;
    }

    void repeatNextAppend() {
        appendsToRepeat = 1;
    }

    Event append(Effect.Append append, long nowMs) {
        if (unavailable) {
            return new Event.AppendFailed(append.stream(), append.appendNumber(), false, 0);
        }
        long offset = write(append.payload(), nowMs);
        if (appendsToRepeat > 0) {
            appendsToRepeat--;
            write(append.payload(), nowMs);
        }
        if (responsesToLose > 0) {
            responsesToLose--;
            return new Event.AppendFailed(append.stream(), append.appendNumber(), true, 0);
        }
        return new Event.Appended(append.stream(), append.appendNumber(), offset);
    }

    long write(ByteString payload, long nowMs) {
        long offset = records.size();
        records.add(new LogRecord(offset, nowMs, payload));
        return offset;
    }

    boolean hasRecordsAt(long offset) {
        return offset < records.size();
    }

    Event read(Effect.ReadLog read) {
        if (unavailable) {
            return new Event.LogReadFailed(read.stream(), read.purpose(), read.fromOffset());
        }
        long from = Math.min(Math.max(read.fromOffset(), oldestOffset), records.size());
        List<LogRecord> found = new ArrayList<>();
        int bytes = 0;
        for (LogRecord record : records.subList((int) from, records.size())) {
            if (!found.isEmpty() && bytes + record.payload().size() > read.maxBytes()) {
                break;
            }
            found.add(record);
            bytes += record.payload().size();
        }
        return new Event.LogRead(
                read.stream(), read.purpose(), read.fromOffset(), found, from + found.size(), oldestOffset);
    }
}

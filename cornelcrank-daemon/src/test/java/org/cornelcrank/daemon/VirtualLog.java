package org.cornelcrank.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.LogRecord;
import org.cornelcrank.core.StreamName;

/**
 * An in-memory fake of the platform's log.
 *
 * <p>Not thread-safe.
 */
final class VirtualLog {

    private final Map<StreamName, List<LogRecord>> streams = new TreeMap<>();
    private boolean unavailable;
    private int responsesToLose;
    private long appends;

    void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
    }

    /** Makes the next appends take effect although their responses are lost. */
    void loseResponses(int count) {
        responsesToLose = count;
    }

    long appends() {
        return appends;
    }

    /** Appends a record and returns the resulting event. */
    Optional<Event> append(Effect.Append append, long nowMs) {
        if (unavailable) {
            return Optional.of(new Event.AppendFailed(append.stream(), append.appendNumber(), false, 100));
        }
        List<LogRecord> stream = streams.computeIfAbsent(append.stream(), name -> new ArrayList<>());
        stream.add(new LogRecord(stream.size(), nowMs, append.payload()));
        appends++;
        if (responsesToLose > 0) {
            responsesToLose--;
            return Optional.of(new Event.AppendFailed(append.stream(), append.appendNumber(), true, 0));
        }
        return Optional.of(new Event.Appended(append.stream(), append.appendNumber(), stream.size() - 1));
    }

    /** Reads records and returns the resulting event, empty if the read has to wait for a record. */
    Optional<Event> read(Effect.ReadLog read, boolean mayWait) {
        if (unavailable) {
            return Optional.of(new Event.LogReadFailed(read.stream(), read.purpose(), read.fromOffset()));
        }
        List<LogRecord> stream = streams.getOrDefault(read.stream(), List.of());
        long from = read.fromOffset() < 0 ? Math.max(0, stream.size() + read.fromOffset()) : read.fromOffset();
        List<LogRecord> records = new ArrayList<>();
        int bytes = 0;
        for (long offset = from; offset < stream.size(); offset++) {
            LogRecord logged = stream.get((int) offset);
            if (!records.isEmpty() && bytes + logged.payload().size() > read.maxBytes()) {
                break;
            }
            bytes += logged.payload().size();
            records.add(logged);
        }
        if (records.isEmpty() && mayWait && read.waitMs() > 0) {
            return Optional.empty();
        }
        long next = records.isEmpty()
                ? Math.max(from, 0)
                : records.get(records.size() - 1).offset() + 1;
        return Optional.of(new Event.LogRead(read.stream(), read.purpose(), read.fromOffset(), records, next, 0));
    }
}

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
 * The platform's log as far as daemons see it, in memory.
 *
 * <p>Not thread-safe.
 */
final class VirtualLog {

    private final Map<StreamName, List<LogRecord>> streams = new TreeMap<>();
    private boolean out;
    private int answersToLose;
    private long appends;

    void setOut(boolean nowOut) {
        out = nowOut;
    }

    /** Lets further appends take effect without an answer. */
    void loseAnswers(int count) {
        answersToLose = count;
    }

    long appends() {
        return appends;
    }

    /** Appends, and returns the event that answers; empty if the answer is lost. */
    Optional<Event> append(Effect.Append append, long nowMs) {
        if (out) {
            return Optional.of(new Event.AppendFailed(append.stream(), append.appendNumber(), false, 100));
        }
        List<LogRecord> stream = streams.computeIfAbsent(append.stream(), name -> new ArrayList<>());
        stream.add(new LogRecord(stream.size(), nowMs, append.payload()));
        appends++;
        if (answersToLose > 0) {
            answersToLose--;
            return Optional.of(new Event.AppendFailed(append.stream(), append.appendNumber(), true, 0));
        }
        return Optional.of(new Event.Appended(append.stream(), append.appendNumber(), stream.size() - 1));
    }

    /** Reads, and returns the event that answers; empty if the read has to wait for a record. */
    Optional<Event> read(Effect.ReadLog read, boolean mayWait) {
        if (out) {
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

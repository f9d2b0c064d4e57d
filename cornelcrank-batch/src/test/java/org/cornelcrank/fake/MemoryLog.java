package org.cornelcrank.fake;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.LogRecord;
import org.cornelcrank.core.StreamName;

/** In-memory implementation of the platform's log. Not thread-safe. */
final class MemoryLog {

    private final Map<StreamName, List<LogRecord>> streams = new HashMap<>();
    private final List<Runnable> waiting = new ArrayList<>();

    long append(StreamName name, ByteString payload, long nowMs) {
        List<LogRecord> stream = streams.computeIfAbsent(name, key -> new ArrayList<>());
        long offset = stream.size();
        stream.add(new LogRecord(offset, nowMs, payload));
        List<Runnable> woken = List.copyOf(waiting);
        waiting.clear();
        woken.forEach(Runnable::run);
        return offset;
    }

    /** Returns the offset at which a read starts; a negative offset counts back from the end. */
    long start(StreamName name, long fromOffset) {
        int size = streams.getOrDefault(name, List.of()).size();
        return fromOffset < 0 ? Math.max(0, size + fromOffset) : fromOffset;
    }

    /** Returns records from an offset on, at least one if there is any. */
    List<LogRecord> read(StreamName name, long start, int maxBytes) {
        List<LogRecord> stream = streams.getOrDefault(name, List.of());
        List<LogRecord> page = new ArrayList<>();
        long bytes = 0;
        for (long offset = start; offset < stream.size() && (page.isEmpty() || bytes < maxBytes); offset++) {
            page.add(stream.get((int) offset));
            bytes += stream.get((int) offset).payload().size();
        }
        return page;
    }

    /** Runs the reader after the next append to any stream. */
    void await(Runnable reader) {
        waiting.add(reader);
    }
}

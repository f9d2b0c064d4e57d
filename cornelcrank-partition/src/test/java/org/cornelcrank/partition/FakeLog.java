package org.cornelcrank.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.LogRecord;
import org.cornelcrank.core.StreamName;

/** In-memory log with faults that tests can inject. */
final class FakeLog {

    /** The fault of one append. */
    enum AppendFault {
        NONE,
        /** The record is written, but the response is lost. */
        RESPONSE_LOST,
        /** The record is not written; the caller cannot tell. */
        REQUEST_LOST,
        /** The log responds that it did not write the record. */
        REFUSED
    }

    /** Selects the fault of each append by the append's number, from 0. */
    interface FaultPlan {
        AppendFault faultOf(int append);
    }

    /** The result of a read. */
    record Page(List<LogRecord> records, long nextOffset, long oldestOffset) {}

    private static final class Stream {
        private final List<LogRecord> records = new ArrayList<>();
        private int oldest;
    }

    private record Waiter(StreamName stream, Runnable wake) {}

    private final Map<StreamName, Stream> streams = new TreeMap<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private FaultPlan faults = append -> AppendFault.NONE;
    private boolean unavailable;
    private int appends;

    void faults(FaultPlan plan) {
        faults = plan;
    }

    void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
    }

    boolean isUnavailable() {
        return unavailable;
    }

    /** Returns the number of appends attempted while the log was available, failed ones included. */
    int appends() {
        return appends;
    }

    AppendFault nextFault() {
        return unavailable ? AppendFault.REQUEST_LOST : faults.faultOf(appends++);
    }

    long append(StreamName name, ByteString payload, long nowMs) {
        Stream stream = streams.computeIfAbsent(name, key -> new Stream());
        long offset = stream.records.size();
        stream.records.add(new LogRecord(offset, nowMs, payload));
        List<Waiter> woken =
                waiters.stream().filter(waiter -> waiter.stream.equals(name)).toList();
        waiters.removeAll(woken);
        woken.forEach(waiter -> waiter.wake.run());
        return offset;
    }

    Page read(StreamName name, long from, int maxBytes) {
        Stream stream = streams.getOrDefault(name, new Stream());
        long start = from < 0 ? Math.max(0, stream.records.size() + from) : from;
        start = Math.max(start, stream.oldest);
        List<LogRecord> page = new ArrayList<>();
        long bytes = 0;
        for (long offset = start; offset < stream.records.size(); offset++) {
            LogRecord record = stream.records.get((int) offset);
            bytes += record.payload().size();
            if (!page.isEmpty() && bytes > maxBytes) {
                break;
            }
            page.add(record);
        }
        return new Page(page, start + page.size(), stream.oldest);
    }

    void awaitAppend(StreamName name, Runnable wake) {
        waiters.add(new Waiter(name, wake));
    }

    List<LogRecord> records(StreamName name) {
        return List.copyOf(streams.getOrDefault(name, new Stream()).records);
    }

    void expireBefore(long timeMs) {
        for (Stream stream : streams.values()) {
            while (stream.oldest < stream.records.size()
                    && stream.records.get(stream.oldest).appendedAtMs() < timeMs) {
                stream.oldest++;
            }
        }
    }

    void forEachStream(Consumer<StreamName> action) {
        streams.keySet().forEach(action);
    }
}

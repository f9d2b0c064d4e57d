package org.cornelcrank.partition;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.LogRecord;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.partition.wire.Group;

/**
 * Reads payloads of individual records again, from the cache or in pages from the log.
 *
 * <p>Invariant: each read results in exactly one call of its receiver, during a later event. Not thread-safe:
 * confined to the daemon's event loop.
 */
final class BodyReader {

    private static final String PURPOSE_PREFIX = PartitionContext.PURPOSE_PREFIX + "bodies-";

    /** Records are read in one page if their offsets differ by at most this number. */
    private static final long MAX_PAGE_GAP = 4;

    private static final int PAGE_BYTES = 256 * 1024;

    /** Receives the result of a read. */
    interface Receiver {
        void read(long number, Map<RecordPosition, ByteString> bodies, long nowMs, Effects out);

        void unavailable(long number, long nowMs, Effects out);
    }

    private static final class PendingRead {
        private final PartitionId partition;
        private final String slice;
        private final TreeSet<RecordPosition> missing;
        private final Map<RecordPosition, ByteString> found = new TreeMap<>();
        private final Receiver receiver;

        private PendingRead(
                PartitionId partition, String slice, Collection<RecordPosition> positions, Receiver receiver) {
            this.partition = partition;
            this.slice = slice;
            this.missing = new TreeSet<>(positions);
            this.receiver = receiver;
        }

        private void collect(long offset, Optional<Group> group) {
            while (!missing.isEmpty() && missing.first().offset() <= offset) {
                RecordPosition position = missing.pollFirst();
                if (position.offset() == offset) {
                    group.flatMap(decoded -> GroupBodies.payload(decoded, position.index(), slice))
                            .ifPresent(payload -> found.put(position, payload));
                }
            }
        }
    }

    private final PartitionContext context;
    private final TimerKey completionTimer = new TimerKey(PartitionContext.SLICE, "bodies");
    private final Map<Long, PendingRead> reads = new TreeMap<>();
    private final List<Long> completed = new ArrayList<>();

    BodyReader(PartitionContext context) {
        this.context = context;
    }

    long start(
            PartitionId partition,
            String slice,
            Collection<RecordPosition> positions,
            Receiver receiver,
            long nowMs,
            Effects out) {
        long number = context.nextNumber();
        PendingRead read = new PendingRead(partition, slice, positions, receiver);
        reads.put(number, read);
        if (advance(number, read, nowMs, out)) {
            completed.add(number);
            out.schedule(completionTimer, nowMs);
        }
        return number;
    }

    /** Completes the reads that were served from the cache, if the timer is the completion timer. */
    void timerDue(TimerKey key, long nowMs, Effects out) {
        if (!key.equals(completionTimer)) {
            return;
        }
        List<Long> numbers = List.copyOf(completed);
        completed.clear();
        numbers.forEach(number -> finish(number, nowMs, out));
    }

    void logRead(Event.LogRead event, long nowMs, Effects out) {
        Optional<Long> number = numberOf(event.purpose());
        if (number.isEmpty()) {
            return;
        }
        PendingRead read = reads.get(number.get());
        for (LogRecord record : event.records()) {
            Optional<Group> group = GroupCodec.decode(record.payload());
            group.ifPresent(decoded -> context.cache.put(event.stream(), record.offset(), decoded));
            read.collect(record.offset(), group);
        }
        if (event.records().isEmpty()) {
            read.missing.clear();
        }
        if (advance(number.get(), read, nowMs, out)) {
            finish(number.get(), nowMs, out);
        }
    }

    void readFailed(Event.LogReadFailed event, long nowMs, Effects out) {
        numberOf(event.purpose())
                .ifPresent(number -> reads.remove(number).receiver.unavailable(number, nowMs, out));
    }

    int pendingReads() {
        return reads.size();
    }

    /** Collects what is cached and requests the next page; returns whether the read is complete. */
    private boolean advance(long number, PendingRead read, long nowMs, Effects out) {
        while (!read.missing.isEmpty()) {
            long offset = read.missing.first().offset();
            Group cached = context.cache.get(read.partition.stream(), offset);
            if (cached == null) {
                requestPage(number, read, offset, nowMs, out);
                return false;
            }
            read.collect(offset, Optional.of(cached));
        }
        return true;
    }

    private void requestPage(long number, PendingRead read, long offset, long nowMs, Effects out) {
        RecordPosition next = read.missing.higher(new RecordPosition(offset, Integer.MAX_VALUE));
        boolean nearby = next != null && next.offset() - offset <= MAX_PAGE_GAP;
        context.logHealth.requestSent(nowMs);
        out.add(new Effect.ReadLog(
                read.partition.stream(), PURPOSE_PREFIX + number, offset, nearby ? PAGE_BYTES : 1, 0));
    }

    private void finish(long number, long nowMs, Effects out) {
        PendingRead read = reads.remove(number);
        read.receiver.read(number, read.found, nowMs, out);
    }

    private Optional<Long> numberOf(String purpose) {
        if (!purpose.startsWith(PURPOSE_PREFIX)) {
            return Optional.empty();
        }
        long number = Long.parseLong(purpose.substring(PURPOSE_PREFIX.length()));
        return reads.containsKey(number) ? Optional.of(number) : Optional.empty();
    }
}

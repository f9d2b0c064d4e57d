package org.cornelcrank.batch;

import java.util.Collection;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.batch.wire.BatchRecord;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.partition.PartitionWriter;
import org.cornelcrank.partition.RecordPosition;

/**
 * Reads stored records by their positions in the log and passes each result to the listener of its read.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class BodyReads {

    private final PartitionWriter writer;
    private final SortedMap<Long, PendingRead> pending = new TreeMap<>();

    BodyReads(PartitionWriter writer) {
        this.writer = writer;
    }

    /** Requests records; the listener is notified unless the ownership is lost first. */
    void read(
            PartitionId partition,
            Collection<RecordPosition> positions,
            BodyListener listener,
            long nowMs,
            Effects out) {
        long number = writer.readBodies(partition, BatchRecords.SLICE, positions, nowMs, out);
        pending.put(number, new PendingRead(partition, listener));
    }

    void bodiesRead(long number, Map<RecordPosition, ByteString> bodies, long nowMs, Effects out) {
        PendingRead read = pending.remove(number);
        if (read == null) {
            return;
        }
        SortedMap<RecordPosition, BatchRecord> records = new TreeMap<>();
        bodies.forEach((position, payload) -> records.put(position, parse(payload)));
        read.listener().recordsRead(records, nowMs, out);
    }

    void bodiesUnavailable(long number, long nowMs, Effects out) {
        PendingRead read = pending.remove(number);
        if (read != null) {
            read.listener().recordsUnavailable(nowMs, out);
        }
    }

    void discard(PartitionId partition) {
        pending.values().removeIf(read -> read.partition().equals(partition));
    }

    int size() {
        return pending.size();
    }

    private static BatchRecord parse(ByteString payload) {
        try {
            return BatchRecord.parseFrom(payload);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("payload must be a batch record but cannot be parsed", e);
        }
    }

    /** Receives the result of a read. */
    interface BodyListener {

        /** Called when the records were read; expired ones are missing. */
        void recordsRead(SortedMap<RecordPosition, BatchRecord> records, long nowMs, Effects out);

        /** Called when the log does not respond. */
        void recordsUnavailable(long nowMs, Effects out);
    }

    private record PendingRead(PartitionId partition, BodyListener listener) {}
}

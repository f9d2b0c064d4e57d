package org.cornelcrank.partition;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.partition.wire.CarriedRecord;
import org.cornelcrank.partition.wire.CarriedRecords;
import org.cornelcrank.partition.wire.CheckpointPart;
import org.cornelcrank.partition.wire.CheckpointPointer;

/**
 * Keeps an owned partition readable beyond the log's retention: writes checkpoints, and appends needed records again.
 *
 * <p>Invariant: at most one checkpoint and one group of carried records are under way. Not thread-safe: confined to the
 * daemon's event loop.
 */
final class CheckpointWriter {

    private static final int MAX_CARRIED_RECORDS = 64;

    /** How many times within a checkpoint interval an owner looks for records to carry over. */
    private static final long CARRY_OVER_CHECKS = 16;

    private static final long NONE = -1;

    private final PartitionContext context;
    private final PartitionId partition;
    private final GroupAppender appender;
    private final BodyReader bodies;
    private final Set<RecordPosition> expired = new HashSet<>();
    private long readFromMs = Long.MAX_VALUE;
    private long bytesToRead;
    private long takenAtMs;
    private long bytesWhenTaken;
    private long throughOffset = NONE;
    private long firstPartOffset = NONE;
    private long lastCheckpointBytes;
    private boolean carrying;
    private long nextCarryCheckMs;
    private CheckpointPointer pointerToAppend;
    private long pointerAppendNumber = NONE;

    CheckpointWriter(PartitionContext context, PartitionId partition, GroupAppender appender, BodyReader bodies) {
        this.context = context;
        this.partition = partition;
        this.appender = appender;
        this.bodies = bodies;
    }

    /** Counts a record that a reader would have to read if it started now. */
    void recordFolded(long appendedAtMs, int bytes) {
        readFromMs = Math.min(readFromMs, appendedAtMs);
        bytesToRead += bytes;
    }

    /** Starts what is due; called at times by the owner only. */
    void maintain(PartitionFold fold, long nowMs, Effects out) {
        if (throughOffset == NONE && checkpointDue(nowMs)) {
            startCheckpoint(fold, nowMs, out);
        }
        if (!carrying && nowMs >= nextCarryCheckMs && !appender.upkeepWaits()) {
            startCarryOver(fold, nowMs, out);
        }
        appendPointer(nowMs, out);
    }

    /** A part that this owner wrote was read back and took effect. */
    void partRead(CheckpointPart part, long offset, long nowMs, Effects out) {
        if (part.getThroughOffset() != throughOffset) {
            return;
        }
        if (part.getIndex() == 0) {
            firstPartOffset = offset;
        }
        if (part.getIndex() + 1 < part.getCount()) {
            return;
        }
        pointerToAppend = CheckpointPointer.newBuilder()
                .setThroughOffset(throughOffset)
                .setFirstPartOffset(firstPartOffset)
                .setLastPartOffset(offset)
                .build();
        pointerAppendNumber = NONE;
        readFromMs = takenAtMs;
        bytesToRead -= bytesWhenTaken;
        throughOffset = NONE;
        context.metrics.checkpoints.inc();
        appendPointer(nowMs, out);
    }

    /** A group of carried records that this owner wrote was read back and took effect. */
    void carriedRead(int records) {
        carrying = false;
        nextCarryCheckMs = 0;
        context.metrics.recordsCarriedOver.inc(records);
    }

    void pointerAppended(long appendNumber) {
        if (appendNumber == pointerAppendNumber) {
            pointerToAppend = null;
            pointerAppendNumber = NONE;
        }
    }

    /** Leaves the pointer for the next call of {@link #maintain}. */
    void pointerFailed(long appendNumber) {
        if (appendNumber == pointerAppendNumber) {
            pointerAppendNumber = NONE;
        }
    }

    long bytesToRead() {
        return bytesToRead;
    }

    private boolean checkpointDue(long nowMs) {
        RetentionSettings retention = context.settings.retention();
        boolean old = readFromMs != Long.MAX_VALUE && nowMs - readFromMs >= retention.checkpointIntervalMs();
        // A large state is written less often, so that checkpoints stay a small part of all that is appended.
        return old || bytesToRead >= Math.max(retention.checkpointEveryBytes(), 4 * lastCheckpointBytes);
    }

    private void startCheckpoint(PartitionFold fold, long nowMs, Effects out) {
        List<CheckpointPart> parts = fold.checkpoint(context.settings.append().maxGroupBytes());
        throughOffset = fold.throughOffset();
        takenAtMs = nowMs;
        bytesWhenTaken = bytesToRead;
        lastCheckpointBytes = 0;
        for (CheckpointPart part : parts) {
            lastCheckpointBytes += part.getSerializedSize();
            appender.checkpointPart(part);
        }
        appender.pump(nowMs, out);
    }

    private void startCarryOver(PartitionFold fold, long nowMs, Effects out) {
        RetentionSettings retention = context.settings.retention();
        long before = Math.min(
                fold.offsetTimes().firstOffsetSince(nowMs - retention.carryOverAgeMs()), fold.throughOffset() + 1);
        for (Map.Entry<String, PartitionState> state : fold.states().entrySet()) {
            List<RecordPosition> needed =
                    new ArrayList<>(state.getValue().neededBefore(before, MAX_CARRIED_RECORDS + expired.size()));
            needed.removeAll(expired);
            if (!needed.isEmpty()) {
                carrying = true;
                bodies.start(partition, state.getKey(), needed, new CarryOver(state.getKey(), needed), nowMs, out);
                return;
            }
        }
        nextCarryCheckMs = nowMs + retention.checkpointIntervalMs() / CARRY_OVER_CHECKS;
    }

    private void appendPointer(long nowMs, Effects out) {
        if (pointerToAppend == null || pointerAppendNumber != NONE) {
            return;
        }
        pointerAppendNumber = context.nextNumber();
        context.metrics.appends.inc();
        out.add(new Effect.Append(
                PartitionReplica.pointerStream(partition), pointerAppendNumber, pointerToAppend.toByteString()));
    }

    /** Appends the bodies that were read, as far as they fit into one group. */
    private final class CarryOver implements BodyReader.Receiver {

        private final String slice;
        private final List<RecordPosition> needed;

        private CarryOver(String slice, List<RecordPosition> needed) {
            this.slice = slice;
            this.needed = needed;
        }

        @Override
        public void read(long number, Map<RecordPosition, ByteString> found, long nowMs, Effects out) {
            noteExpired(found, out);
            CarriedRecords.Builder records = CarriedRecords.newBuilder();
            long bytes = 0;
            Iterator<Map.Entry<RecordPosition, ByteString>> bodiesLeft =
                    found.entrySet().iterator();
            while (bodiesLeft.hasNext() && bytes < context.settings.append().maxGroupBytes() / 2) {
                Map.Entry<RecordPosition, ByteString> body = bodiesLeft.next();
                bytes += body.getValue().size();
                records.addRecords(CarriedRecord.newBuilder()
                        .setSlice(slice)
                        .setPayload(body.getValue())
                        .setFromOffset(body.getKey().offset())
                        .setFromIndex(body.getKey().index()));
            }
            if (records.getRecordsCount() == 0) {
                carrying = false;
                return;
            }
            appender.carryOver(records.build());
            appender.pump(nowMs, out);
        }

        @Override
        public void unavailable(long number, long nowMs, Effects out) {
            carrying = false;
        }

        private void noteExpired(Map<RecordPosition, ByteString> found, Effects out) {
            for (RecordPosition position : needed) {
                if (!found.containsKey(position) && expired.add(position)) {
                    context.metrics.bodiesExpired.inc();
                    out.add(new Effect.StateChanged(
                            PartitionContext.DUTY,
                            "partition " + partition + " lost a needed record of " + slice + " at offset "
                                    + position.offset() + ": it expired before it was appended again"));
                }
            }
        }
    }
}

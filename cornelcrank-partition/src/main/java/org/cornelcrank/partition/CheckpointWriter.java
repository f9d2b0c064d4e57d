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
 * <p>Invariant: at most one checkpoint and one group of carried-over records are in progress. Not thread-safe: confined
 * to the daemon's event loop.
 */
final class CheckpointWriter {

    private static final int MAX_CARRIED_RECORDS = 64;

    /** Number of times per checkpoint interval that an owner checks for records to carry over. */
    private static final long CARRY_OVER_CHECKS_PER_INTERVAL = 16;

    private static final long NONE = -1;

    private final PartitionContext context;
    private final PartitionId partition;
    private final GroupAppender appender;
    private final BodyReader bodyReader;
    private final Set<RecordPosition> expiredPositions = new HashSet<>();
    private long replayFromMs = Long.MAX_VALUE;
    private long replayBytes;
    private long checkpointStartedAtMs;
    private long replayBytesAtStart;
    private long checkpointThroughOffset = NONE;
    private long firstPartOffset = NONE;
    private long lastCheckpointBytes;
    private boolean carryOverInProgress;
    private long nextCarryCheckMs;
    private CheckpointPointer pointerToAppend;
    private long pointerAppendNumber = NONE;

    CheckpointWriter(PartitionContext context, PartitionId partition, GroupAppender appender, BodyReader bodyReader) {
        this.context = context;
        this.partition = partition;
        this.appender = appender;
        this.bodyReader = bodyReader;
    }

    /** Counts a record that a reader that started now would have to replay. */
    void countReplayRecord(long appendedAtMs, int bytes) {
        replayFromMs = Math.min(replayFromMs, appendedAtMs);
        replayBytes += bytes;
    }

    /** Starts a checkpoint or a carry-over if it is due; called periodically, by the owner only. */
    void maintain(PartitionFold fold, long nowMs, Effects out) {
        if (checkpointThroughOffset == NONE && checkpointDue(nowMs)) {
            startCheckpoint(fold, nowMs, out);
        }
        if (!carryOverInProgress && nowMs >= nextCarryCheckMs && !appender.hasPendingControlGroup()) {
            startCarryOver(fold, nowMs, out);
        }
        appendPointer(nowMs, out);
    }

    /** Called when a part that this owner wrote was read back and took effect. */
    void partReadBack(CheckpointPart part, long offset, long nowMs, Effects out) {
        if (part.getThroughOffset() != checkpointThroughOffset) {
            return;
        }
        if (part.getIndex() == 0) {
            firstPartOffset = offset;
        }
        if (part.getIndex() + 1 < part.getCount()) {
            return;
        }
        pointerToAppend = CheckpointPointer.newBuilder()
                .setThroughOffset(checkpointThroughOffset)
                .setFirstPartOffset(firstPartOffset)
                .setLastPartOffset(offset)
                .build();
        pointerAppendNumber = NONE;
        replayFromMs = checkpointStartedAtMs;
        replayBytes -= replayBytesAtStart;
        checkpointThroughOffset = NONE;
        context.metrics.checkpoints.inc();
        appendPointer(nowMs, out);
    }

    /** Called when a group of carried-over records that this owner wrote was read back and took effect. */
    void carriedRecordsReadBack(int records) {
        carryOverInProgress = false;
        nextCarryCheckMs = 0;
        context.metrics.recordsCarriedOver.inc(records);
    }

    void pointerAppended(long appendNumber) {
        if (appendNumber == pointerAppendNumber) {
            pointerToAppend = null;
            pointerAppendNumber = NONE;
        }
    }

    /** Leaves the pointer to be appended by the next call of {@link #maintain}. */
    void pointerFailed(long appendNumber) {
        if (appendNumber == pointerAppendNumber) {
            pointerAppendNumber = NONE;
        }
    }

    long replayBytes() {
        return replayBytes;
    }

    private boolean checkpointDue(long nowMs) {
        RetentionSettings retention = context.settings.retention();
        boolean old = replayFromMs != Long.MAX_VALUE && nowMs - replayFromMs >= retention.checkpointIntervalMs();
        // Large states are written less often, so that checkpoints remain a small part of all appended bytes.
        return old || replayBytes >= Math.max(retention.checkpointEveryBytes(), 4 * lastCheckpointBytes);
    }

    private void startCheckpoint(PartitionFold fold, long nowMs, Effects out) {
        List<CheckpointPart> parts = fold.checkpoint(context.settings.append().maxGroupBytes());
        checkpointThroughOffset = fold.throughOffset();
        checkpointStartedAtMs = nowMs;
        replayBytesAtStart = replayBytes;
        lastCheckpointBytes = 0;
        for (CheckpointPart part : parts) {
            lastCheckpointBytes += part.getSerializedSize();
            appender.checkpointPart(part);
        }
        appender.appendIfDue(nowMs, out);
    }

    private void startCarryOver(PartitionFold fold, long nowMs, Effects out) {
        RetentionSettings retention = context.settings.retention();
        long before = Math.min(
                fold.offsetTimeIndex().firstOffsetSince(nowMs - retention.carryOverAgeMs()), fold.throughOffset() + 1);
        for (Map.Entry<String, PartitionState> state : fold.states().entrySet()) {
            List<RecordPosition> needed = new ArrayList<>(
                    state.getValue().neededBefore(before, MAX_CARRIED_RECORDS + expiredPositions.size()));
            needed.removeAll(expiredPositions);
            if (!needed.isEmpty()) {
                carryOverInProgress = true;
                bodyReader.start(partition, state.getKey(), needed, new CarryOver(state.getKey(), needed), nowMs, out);
                return;
            }
        }
        nextCarryCheckMs = nowMs + retention.checkpointIntervalMs() / CARRY_OVER_CHECKS_PER_INTERVAL;
    }

    private void appendPointer(long nowMs, Effects out) {
        if (pointerToAppend == null || pointerAppendNumber != NONE) {
            return;
        }
        pointerAppendNumber = context.nextNumber();
        context.metrics.appends.inc();
        out.add(new Effect.Append(
                PartitionStreamReader.pointerStream(partition), pointerAppendNumber, pointerToAppend.toByteString()));
    }

    /** Appends the payloads that were read, as many as fit into one group. */
    private final class CarryOver implements BodyReader.Receiver {

        private final String slice;
        private final List<RecordPosition> needed;

        private CarryOver(String slice, List<RecordPosition> needed) {
            this.slice = slice;
            this.needed = needed;
        }

        @Override
        public void read(long number, Map<RecordPosition, ByteString> found, long nowMs, Effects out) {
            reportExpired(found, out);
            CarriedRecords.Builder records = CarriedRecords.newBuilder();
            long bytes = 0;
            Iterator<Map.Entry<RecordPosition, ByteString>> remaining =
                    found.entrySet().iterator();
            while (remaining.hasNext() && bytes < context.settings.append().maxGroupBytes() / 2) {
                Map.Entry<RecordPosition, ByteString> body = remaining.next();
                bytes += body.getValue().size();
                records.addRecords(CarriedRecord.newBuilder()
                        .setSlice(slice)
                        .setPayload(body.getValue())
                        .setFromOffset(body.getKey().offset())
                        .setFromIndex(body.getKey().index()));
            }
            if (records.getRecordsCount() == 0) {
                carryOverInProgress = false;
                return;
            }
            appender.carryOver(records.build());
            appender.appendIfDue(nowMs, out);
        }

        @Override
        public void unavailable(long number, long nowMs, Effects out) {
            carryOverInProgress = false;
        }

        private void reportExpired(Map<RecordPosition, ByteString> found, Effects out) {
            for (RecordPosition position : needed) {
                if (!found.containsKey(position) && expiredPositions.add(position)) {
                    context.metrics.bodiesExpired.inc();
                    out.add(new Effect.StateChanged(
                            PartitionContext.SLICE,
                            "partition " + partition + " lost a needed record of " + slice + " at offset "
                                    + position.offset() + ": it expired before it was appended again"));
                }
            }
        }
    }
}

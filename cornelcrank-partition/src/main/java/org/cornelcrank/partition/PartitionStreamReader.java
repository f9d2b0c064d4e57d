package org.cornelcrank.partition;

import java.util.List;
import java.util.Optional;

import org.cornelcrank.core.Backoff;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.LogRecord;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.StreamName;
import org.cornelcrank.partition.wire.CheckpointPart;
import org.cornelcrank.partition.wire.CheckpointPointer;
import org.cornelcrank.partition.wire.Group;

/**
 * Reads one partition's stream from a checkpoint, or from its start, to the end, and then tails it.
 *
 * <p>Pointers to checkpoints are hints and verified on reading: if a checkpoint is incomplete or expired, the reader
 * scans the stream for another one from the oldest retained record. Any complete checkpoint can be used if all records
 * after it are retained, even if its parts did not take effect: its writer folded the same stream and thus reached the
 * same state as every other reader. Not thread-safe: confined to the daemon's event loop.
 */
final class PartitionStreamReader {

    /** Number of latest pointers to consider; the last one may be a late append of a former owner. */
    private static final int MAX_POINTERS = 4;

    private enum Phase {
        FIND_POINTER,
        COLLECT_CHECKPOINT,
        SCAN,
        FOLD,
        STOPPED
    }

    /** Listener for what was read. */
    interface Listener {

        /** Called when the fold starts, from a checkpoint or from the start of the stream. */
        void foldStarts(PartitionFold fold, long nowMs);

        void recordRead(LogRecord record, long nowMs, Effects out);

        /** Called when all records of a read were folded; {@code tailing} if the end has been reached at least once. */
        void advanced(boolean tailing, long nowMs, Effects out);

        /** Called when records that the fold needs have expired. */
        void recordsExpired(boolean whileTailing, long nowMs, Effects out);
    }

    private final PartitionContext context;
    private final PartitionId partition;
    private final Listener listener;
    private final Backoff backoff;
    private final String purpose;
    private Phase phase = Phase.FIND_POINTER;
    private CheckpointCollector collector = new CheckpointCollector();
    private CheckpointPointer pointer = CheckpointPointer.getDefaultInstance();
    private StreamName stream;
    private long nextOffset;
    private boolean tailing;
    private boolean readPending;

    PartitionStreamReader(PartitionContext context, PartitionId partition, Listener listener) {
        this.context = context;
        this.partition = partition;
        this.listener = listener;
        this.backoff = context.backoff();
        this.purpose = PartitionContext.PURPOSE_PREFIX + "replica-" + context.nextNumber();
    }

    /** Returns the stream to which owners append pointers to the checkpoints of a partition. */
    static StreamName pointerStream(PartitionId partition) {
        return new StreamName(partition.stream() + ".checkpoints");
    }

    void start(long nowMs, Effects out) {
        stream = pointerStream(partition);
        nextOffset = -MAX_POINTERS;
        read(nowMs, out);
    }

    void stop() {
        phase = Phase.STOPPED;
    }

    /** Resumes reading after a failure. */
    void retry(long nowMs, Effects out) {
        if (!readPending && phase != Phase.STOPPED) {
            read(nowMs, out);
        }
    }

    void readFailed(Event.LogReadFailed failed, long nowMs, Effects out) {
        if (!failed.purpose().equals(purpose) || phase == Phase.STOPPED) {
            return;
        }
        readPending = false;
        out.schedule(context.timer(PartitionContext.READ_TIMER, partition), nowMs + backoff.nextDelayMs());
    }

    void logRead(Event.LogRead read, long nowMs, Effects out) {
        if (!read.purpose().equals(purpose) || phase == Phase.STOPPED) {
            return;
        }
        readPending = false;
        backoff.reset();
        switch (phase) {
            case FIND_POINTER -> pointersRead(read);
            case COLLECT_CHECKPOINT -> checkpointRead(read, nowMs);
            case SCAN -> scanRead(read, nowMs, out);
            default -> fold(read, nowMs, out);
        }
        if (phase != Phase.STOPPED && !readPending) {
            read(nowMs, out);
        }
    }

    long nextOffset() {
        return nextOffset;
    }

    boolean tailing() {
        return tailing;
    }

    private void pointersRead(Event.LogRead read) {
        for (LogRecord record : read.records()) {
            CheckpointPointers.decode(record.payload())
                    .filter(found -> found.getThroughOffset() >= pointer.getThroughOffset())
                    .ifPresent(found -> pointer = found);
        }
        stream = partition.stream();
        boolean found = pointer.getLastPartOffset() > 0;
        phase = found ? Phase.COLLECT_CHECKPOINT : Phase.SCAN;
        nextOffset = found ? pointer.getFirstPartOffset() : 0;
    }

    private void checkpointRead(Event.LogRead read, long nowMs) {
        for (LogRecord record : read.records()) {
            Optional<List<CheckpointPart>> checkpoint = collect(record);
            if (checkpoint.isPresent() && startFrom(checkpoint.get(), read.oldestOffset(), nowMs)) {
                return;
            }
        }
        nextOffset = read.nextOffset();
        if (read.records().isEmpty() || nextOffset > pointer.getLastPartOffset()) {
            context.metrics.checkpointsUnusable.inc();
            collector = new CheckpointCollector();
            phase = Phase.SCAN;
            nextOffset = 0;
        }
    }

    private void scanRead(Event.LogRead read, long nowMs, Effects out) {
        if (nextOffset == 0 && read.oldestOffset() == 0) {
            startFold(context.newFold(partition), nowMs);
            fold(read, nowMs, out);
            return;
        }
        for (LogRecord record : read.records()) {
            Optional<List<CheckpointPart>> checkpoint = collect(record);
            if (checkpoint.isPresent() && startFrom(checkpoint.get(), read.oldestOffset(), nowMs)) {
                return;
            }
        }
        nextOffset = read.nextOffset();
        if (read.records().isEmpty()) {
            stop();
            listener.recordsExpired(false, nowMs, out);
        }
    }

    private Optional<List<CheckpointPart>> collect(LogRecord record) {
        return GroupCodec.decode(record.payload())
                .filter(Group::hasCheckpoint)
                .flatMap(group -> collector.add(group.getWriter(), group.getCheckpoint()));
    }

    private boolean startFrom(List<CheckpointPart> checkpoint, long oldestOffset, long nowMs) {
        if (checkpoint.get(0).getThroughOffset() + 1 < oldestOffset) {
            context.metrics.checkpointsUnusable.inc();
            return false;
        }
        PartitionFold fold = context.newFold(partition);
        fold.restore(checkpoint);
        startFold(fold, nowMs);
        return true;
    }

    private void startFold(PartitionFold fold, long nowMs) {
        collector = new CheckpointCollector();
        phase = Phase.FOLD;
        nextOffset = fold.throughOffset() + 1;
        listener.foldStarts(fold, nowMs);
    }

    private void fold(Event.LogRead read, long nowMs, Effects out) {
        if (read.oldestOffset() > nextOffset) {
            stop();
            listener.recordsExpired(true, nowMs, out);
            return;
        }
        for (LogRecord record : read.records()) {
            if (record.offset() < nextOffset) {
                continue;
            }
            nextOffset = record.offset() + 1;
            listener.recordRead(record, nowMs, out);
            if (phase == Phase.STOPPED) {
                return;
            }
        }
        tailing |= read.records().isEmpty();
        listener.advanced(tailing, nowMs, out);
    }

    private void read(long nowMs, Effects out) {
        readPending = true;
        context.logHealth.requestSent(nowMs);
        ReadSettings settings = context.settings.read();
        out.add(new Effect.ReadLog(stream, purpose, nextOffset, settings.maxBytes(), tailing ? settings.waitMs() : 0));
    }
}

package org.cornelcrank.config;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.config.ConfigurationRecord.SettingChanged;
import org.cornelcrank.config.ConfigurationRecord.SnapshotPart;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.LogRecord;
import org.cornelcrank.core.StreamName;

/**
 * Folds the configuration stream into the table of settings.
 *
 * <p>Invariants: every daemon gets the same result for a record, since it depends only on the records that took effect
 * before it; a record that was appended twice is folded once. If records expired before they were read, the fold pauses
 * until it finds a complete snapshot that covers them, and resumes at the offset up to which that snapshot was taken.
 * Not thread-safe: confined to the daemon's event loop.
 */
final class ConfigurationLog {

    static final StreamName STREAM = new StreamName("configuration");

    /** Number of writers whose last sequence number is kept; no append is retried after this many writers appended. */
    private static final int MAX_WRITERS = 1_024;

    private static final int MAX_PARTIAL_SNAPSHOTS = 4;

    private final SettingTable table;
    private final MetricRegistry metrics;
    private final LinkedHashMap<String, Long> lastSequences = new LinkedHashMap<>();
    private final LinkedHashMap<String, List<SnapshotPart>> partialSnapshots = new LinkedHashMap<>();
    private long nextOffset;
    private long completeBefore;
    private long missingBefore = -1;
    private long lastSnapshotAtMs = -1;
    private long firstRecordAtMs = -1;
    private boolean caughtUp;

    ConfigurationLog(SettingTable table, MetricRegistry metrics) {
        this.table = table;
        this.metrics = metrics;
    }

    /** Folds the records of a read; returns the results of new changes and of entries adopted from a snapshot. */
    List<FoldResult> fold(Event.LogRead read) {
        List<FoldResult> results = new ArrayList<>();
        if (read.fromOffset() != nextOffset) {
            return results;
        }
        if (read.oldestOffset() > nextOffset) {
            missingBefore = read.oldestOffset();
            nextOffset = read.oldestOffset();
            partialSnapshots.clear();
            caughtUp = false;
        }
        for (LogRecord record : read.records()) {
            if (record.offset() >= nextOffset) {
                long previousOffset = nextOffset;
                nextOffset = record.offset() + 1;
                fold(record, results);
                if (nextOffset <= previousOffset) {
                    return results;
                }
            }
        }
        caughtUp |= read.records().isEmpty() && !isMissingRecords();
        completeBefore = isMissingRecords() ? completeBefore : nextOffset;
        return results;
    }

    long nextOffset() {
        return nextOffset;
    }

    /** Returns the offset before which all effective changes are included. */
    long completeBefore() {
        return completeBefore;
    }

    /** Returns whether records expired before they were read and no snapshot that covers them was found yet. */
    boolean isMissingRecords() {
        return missingBefore >= 0;
    }

    /** Returns whether the end of the log has been reached with no records missing. */
    boolean caughtUp() {
        return caughtUp;
    }

    /**
     * Returns when the latest complete snapshot was appended, or the oldest change if there was no snapshot, in ms by
     * the log's clock; negative if nothing has been folded.
     */
    long lastSnapshotAtMs() {
        return lastSnapshotAtMs < 0 ? firstRecordAtMs : lastSnapshotAtMs;
    }

    Map<String, Long> lastSequences() {
        return new LinkedHashMap<>(lastSequences);
    }

    private void fold(LogRecord logRecord, List<FoldResult> results) {
        ConfigurationRecord record;
        try {
            record = ConfigurationRecordCodec.decode(logRecord.payload());
        } catch (InvalidProtocolBufferException e) {
            metrics.counter("config.records-unreadable").inc();
            return;
        }
        if (record.content() instanceof SnapshotPart part) {
            collect(record, part, logRecord, results);
            return;
        }
        if (isMissingRecords() || !isNew(record)) {
            return;
        }
        SettingChanged change = (SettingChanged) record.content();
        boolean effective = table.fold(change, logRecord.offset());
        firstRecordAtMs = firstRecordAtMs < 0 ? logRecord.appendedAtMs() : firstRecordAtMs;
        metrics.counter(effective ? "config.changes-applied" : "config.changes-void")
                .inc();
        results.add(new FoldResult(
                record.writer(),
                record.sequence(),
                effective,
                new SettingEntry(change.path(), change.value(), table.foldedVersion(change.path()))));
    }

    private boolean isNew(ConfigurationRecord record) {
        Long last = lastSequences.get(record.writer());
        if (last != null && last >= record.sequence()) {
            return false;
        }
        lastSequences.remove(record.writer());
        lastSequences.put(record.writer(), record.sequence());
        if (lastSequences.size() > MAX_WRITERS) {
            removeOldest(lastSequences);
        }
        return true;
    }

    private void collect(ConfigurationRecord record, SnapshotPart part, LogRecord logRecord, List<FoldResult> results) {
        String snapshot = record.writer() + "@" + part.coveredBeforeOffset();
        List<SnapshotPart> parts = partialSnapshots.computeIfAbsent(snapshot, ignored -> new ArrayList<>());
        if (part.part() == parts.size()) {
            parts.add(part);
        }
        if (partialSnapshots.size() > MAX_PARTIAL_SNAPSHOTS) {
            removeOldest(partialSnapshots);
        }
        if (parts.size() < part.parts()) {
            return;
        }
        partialSnapshots.remove(snapshot);
        if (isMissingRecords() && part.coveredBeforeOffset() >= missingBefore) {
            rebase(parts, results);
        }
        if (!isMissingRecords()) {
            lastSnapshotAtMs = Math.max(lastSnapshotAtMs, logRecord.appendedAtMs());
        }
    }

    private void rebase(List<SnapshotPart> parts, List<FoldResult> results) {
        List<SettingEntry> entries = new ArrayList<>();
        lastSequences.clear();
        for (SnapshotPart part : parts) {
            entries.addAll(part.entries());
            lastSequences.putAll(part.writers());
        }
        for (String path : table.rebase(entries)) {
            results.add(new FoldResult("", 0, true, table.find(path).orElseThrow()));
        }
        missingBefore = -1;
        nextOffset = parts.get(0).coveredBeforeOffset();
        completeBefore = Math.max(completeBefore, nextOffset);
        partialSnapshots.clear();
        metrics.counter("config.snapshots-adopted").inc();
    }

    private static void removeOldest(Map<String, ?> map) {
        Iterator<String> oldest = map.keySet().iterator();
        oldest.next();
        oldest.remove();
    }

    /**
     * The result of folding a record: whether it took effect, its content, and the resulting version of its path.
     *
     * <p>The writer is empty for an entry of a snapshot.
     */
    record FoldResult(String writer, long sequence, boolean effective, SettingEntry entry) {}
}

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
 * <p>Invariants: every daemon judges a record alike, since it judges by what took effect before it and by nothing else; a
 * record that was appended twice is judged once. Where records have expired unread, it looks for a whole snapshot that
 * covers them and goes on from the offset up to which that snapshot was taken; until then nothing is judged. Not
 * thread-safe: confined to the daemon's event loop.
 */
final class ConfigurationLog {

    static final StreamName STREAM = new StreamName("configuration");

    /** Writers whose last sequence is remembered; an append is not repeated after so many others have written. */
    private static final int MAX_WRITERS = 1_024;

    private static final int MAX_OPEN_SNAPSHOTS = 4;

    private final SettingTable table;
    private final MetricRegistry metrics;
    private final LinkedHashMap<String, Long> lastSequences = new LinkedHashMap<>();
    private final LinkedHashMap<String, List<SnapshotPart>> openSnapshots = new LinkedHashMap<>();
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

    /** Folds what a read gave, and returns what came of it. */
    List<Judgement> fold(Event.LogRead read) {
        List<Judgement> judgements = new ArrayList<>();
        if (read.fromOffset() != nextOffset) {
            return judgements;
        }
        if (read.oldestOffset() > nextOffset) {
            missingBefore = read.oldestOffset();
            nextOffset = read.oldestOffset();
            openSnapshots.clear();
            caughtUp = false;
        }
        for (LogRecord record : read.records()) {
            if (record.offset() >= nextOffset) {
                long before = nextOffset;
                nextOffset = record.offset() + 1;
                fold(record, judgements);
                if (nextOffset <= before) {
                    return judgements;
                }
            }
        }
        caughtUp |= read.records().isEmpty() && !isMissingRecords();
        completeBefore = isMissingRecords() ? completeBefore : nextOffset;
        return judgements;
    }

    /** Returns the offset to read from next. */
    long nextOffset() {
        return nextOffset;
    }

    /** Returns the offset before which all that took effect is known. */
    long completeBefore() {
        return completeBefore;
    }

    /** Returns whether records have expired unread and no snapshot that covers them was found yet. */
    boolean isMissingRecords() {
        return missingBefore >= 0;
    }

    /** Returns whether the end of the log was reached once with all records before it known. */
    boolean caughtUp() {
        return caughtUp;
    }

    /**
     * Returns when the newest whole snapshot was appended by the log's clock, or the oldest change if none was seen;
     * negative while nothing was folded.
     */
    long lastSnapshotAtMs() {
        return lastSnapshotAtMs < 0 ? firstRecordAtMs : lastSnapshotAtMs;
    }

    Map<String, Long> lastSequences() {
        return new LinkedHashMap<>(lastSequences);
    }

    private void fold(LogRecord logRecord, List<Judgement> judgements) {
        ConfigurationRecord record;
        try {
            record = ConfigurationRecordCodec.decode(logRecord.payload());
        } catch (InvalidProtocolBufferException e) {
            metrics.counter("config.records-unreadable").inc();
            return;
        }
        if (record.content() instanceof SnapshotPart part) {
            collect(record, part, logRecord, judgements);
            return;
        }
        if (isMissingRecords() || !isFirst(record)) {
            return;
        }
        SettingChanged change = (SettingChanged) record.content();
        boolean effective = table.fold(change, logRecord.offset());
        firstRecordAtMs = firstRecordAtMs < 0 ? logRecord.appendedAtMs() : firstRecordAtMs;
        metrics.counter(effective ? "config.changes-applied" : "config.changes-void")
                .inc();
        judgements.add(new Judgement(
                record.writer(),
                record.sequence(),
                effective,
                new SettingEntry(change.path(), change.value(), table.foldedVersion(change.path()))));
    }

    private boolean isFirst(ConfigurationRecord record) {
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

    private void collect(
            ConfigurationRecord record, SnapshotPart part, LogRecord logRecord, List<Judgement> judgements) {
        String snapshot = record.writer() + "@" + part.coveredBeforeOffset();
        List<SnapshotPart> parts = openSnapshots.computeIfAbsent(snapshot, ignored -> new ArrayList<>());
        if (part.part() == parts.size()) {
            parts.add(part);
        }
        if (openSnapshots.size() > MAX_OPEN_SNAPSHOTS) {
            removeOldest(openSnapshots);
        }
        if (parts.size() < part.parts()) {
            return;
        }
        openSnapshots.remove(snapshot);
        if (isMissingRecords() && part.coveredBeforeOffset() >= missingBefore) {
            rebase(parts, judgements);
        }
        if (!isMissingRecords()) {
            lastSnapshotAtMs = Math.max(lastSnapshotAtMs, logRecord.appendedAtMs());
        }
    }

    private void rebase(List<SnapshotPart> parts, List<Judgement> judgements) {
        List<SettingEntry> entries = new ArrayList<>();
        lastSequences.clear();
        for (SnapshotPart part : parts) {
            entries.addAll(part.entries());
            lastSequences.putAll(part.writers());
        }
        for (String path : table.rebase(entries)) {
            judgements.add(new Judgement("", 0, true, table.find(path).orElseThrow()));
        }
        missingBefore = -1;
        nextOffset = parts.get(0).coveredBeforeOffset();
        completeBefore = Math.max(completeBefore, nextOffset);
        openSnapshots.clear();
        metrics.counter("config.snapshots-adopted").inc();
    }

    private static void removeOldest(Map<String, ?> map) {
        Iterator<String> oldest = map.keySet().iterator();
        oldest.next();
        oldest.remove();
    }

    /**
     * What came of a record: whether it took effect, what it said, and at which version its path was after it.
     *
     * <p>The writer is empty for what came from a snapshot.
     */
    record Judgement(String writer, long sequence, boolean effective, SettingEntry entry) {}
}

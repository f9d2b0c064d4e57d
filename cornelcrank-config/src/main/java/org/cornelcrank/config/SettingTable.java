package org.cornelcrank.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Holds the newest entry of each path, and the path's version in the log as far as the log was folded.
 *
 * <p>Invariants: the version of a path never decreases, not even by a deletion; whether a change takes effect depends
 * on the log alone, not on entries from peers. Not thread-safe: confined to the daemon's event loop.
 */
final class SettingTable {

    private final TreeMap<String, Row> rows = new TreeMap<>();

    /** Applies a change from the log; returns false if it is void because the path is at another version. */
    boolean fold(ConfigurationRecord.SettingChanged change, long offset) {
        Row row = rows.get(change.path());
        long currentVersion = row == null ? 0 : row.foldedVersion;
        if (currentVersion != change.expectedVersion()) {
            return false;
        }
        Row changed = row == null ? newRow(change.path()) : row;
        changed.foldedVersion = offset + 1;
        changed.replaceIfNewer(new SettingEntry(change.path(), change.value(), offset + 1));
        return true;
    }

    /** Applies an entry of a peer or a snapshot, and returns true, if it is newer than the current entry. */
    boolean applyIfNewer(SettingEntry entry) {
        Row row = rows.get(entry.path());
        return (row == null ? newRow(entry.path()) : row).replaceIfNewer(entry);
    }

    /** Restarts folding from the entries of a snapshot; returns the paths whose newest entry changed. */
    List<String> rebase(Collection<SettingEntry> entries) {
        rows.values().forEach(row -> row.foldedVersion = 0);
        List<String> changed = new ArrayList<>();
        for (SettingEntry entry : entries) {
            if (applyIfNewer(entry)) {
                changed.add(entry.path());
            }
            rows.get(entry.path()).foldedVersion = entry.version();
        }
        return changed;
    }

    /** Returns the newest entry of a path, deleted or not; empty if the path was never set. */
    Optional<SettingEntry> find(String path) {
        return Optional.ofNullable(rows.get(path)).map(row -> row.newest);
    }

    /** Returns the value of a path, empty if the path is not set. */
    Optional<String> value(String path) {
        Row row = rows.get(path);
        return row == null ? Optional.empty() : row.newest.value();
    }

    long version(String path) {
        return find(path).map(SettingEntry::version).orElse(0L);
    }

    long foldedVersion(String path) {
        Row row = rows.get(path);
        return row == null ? 0 : row.foldedVersion;
    }

    /** Returns the entries at a path and below it, deleted ones included, in the order of the paths. */
    List<SettingEntry> entriesBelow(String prefix) {
        String base = prefix.endsWith("/") ? prefix.substring(0, prefix.length() - 1) : prefix;
        List<SettingEntry> found = new ArrayList<>();
        find(base).ifPresent(found::add);
        // The character after '/' is the upper bound of the paths that start with the base and a slash.
        for (Row row : rows.subMap(base + "/", base + (char) ('/' + 1)).values()) {
            found.add(row.newest);
        }
        return found;
    }

    /** Returns the entries newer than a version, oldest first. */
    List<SettingEntry> entriesAfter(long version) {
        return rows.values().stream()
                .map(row -> row.newest)
                .filter(entry -> entry.version() > version)
                .sorted(Comparator.comparingLong(SettingEntry::version))
                .toList();
    }

    /** Returns all entries as folded from the log, empty if some were received only from peers. */
    Optional<List<SettingEntry>> foldedEntries() {
        List<SettingEntry> entries = new ArrayList<>(rows.size());
        for (Map.Entry<String, Row> row : rows.entrySet()) {
            if (row.getValue().foldedVersion != row.getValue().newest.version()) {
                return Optional.empty();
            }
            entries.add(row.getValue().newest);
        }
        return Optional.of(entries);
    }

    /** Returns 1 if the path was set since the last call for it, -1 if it was deleted, 0 otherwise. */
    int countDelta(String path) {
        Row row = rows.get(path);
        if (row == null) {
            return 0;
        }
        boolean isSet = row.newest.value().isPresent();
        int delta = (isSet ? 1 : 0) - (row.countedAsSet ? 1 : 0);
        row.countedAsSet = isSet;
        return delta;
    }

    int size() {
        return rows.size();
    }

    private Row newRow(String path) {
        Row row = new Row();
        rows.put(path, row);
        return row;
    }

    private static final class Row {
        private SettingEntry newest;
        private long foldedVersion;
        private boolean countedAsSet;

        boolean replaceIfNewer(SettingEntry entry) {
            if (newest != null && newest.version() >= entry.version()) {
                return false;
            }
            newest = entry;
            return true;
        }
    }
}

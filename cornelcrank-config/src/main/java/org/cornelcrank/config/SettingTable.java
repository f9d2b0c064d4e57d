package org.cornelcrank.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Keeps the newest known entry of each path, and the version that the log gives it as far as it was folded.
 *
 * <p>Invariants: the version of a path never falls, deletions included; whether a change takes effect depends on the log
 * alone, not on what peers told. Not thread-safe: confined to the daemon's event loop.
 */
final class SettingTable {

    private final TreeMap<String, Row> rows = new TreeMap<>();

    /** Applies a change of the log; returns false if it is void because the path was at another version. */
    boolean fold(ConfigurationRecord.SettingChanged change, long offset) {
        Row row = rows.get(change.path());
        long present = row == null ? 0 : row.foldedVersion;
        if (present != change.expectedVersion()) {
            return false;
        }
        Row changed = row == null ? newRow(change.path()) : row;
        changed.foldedVersion = offset + 1;
        changed.takeNewer(new SettingEntry(change.path(), change.value(), offset + 1));
        return true;
    }

    /** Takes an entry that another daemon knows, and returns whether it was newer. */
    boolean take(SettingEntry entry) {
        Row row = rows.get(entry.path());
        return (row == null ? newRow(entry.path()) : row).takeNewer(entry);
    }

    /** Makes the entries of a snapshot the base of further folding; returns the paths whose newest entry changed. */
    List<String> rebase(Collection<SettingEntry> entries) {
        rows.values().forEach(row -> row.foldedVersion = 0);
        List<String> changed = new ArrayList<>();
        for (SettingEntry entry : entries) {
            if (take(entry)) {
                changed.add(entry.path());
            }
            rows.get(entry.path()).foldedVersion = entry.version();
        }
        return changed;
    }

    /** Returns the newest known entry of a path, deleted or not; empty if it was never set. */
    Optional<SettingEntry> find(String path) {
        return Optional.ofNullable(rows.get(path)).map(row -> row.newest);
    }

    /** Returns the value of a path, empty if it is not set. */
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
    List<SettingEntry> below(String prefix) {
        String base = prefix.endsWith("/") ? prefix.substring(0, prefix.length() - 1) : prefix;
        List<SettingEntry> found = new ArrayList<>();
        find(base).ifPresent(found::add);
        // The character after the slash ends the range of paths that start with the base and a slash.
        for (Row row : rows.subMap(base + "/", base + (char) ('/' + 1)).values()) {
            found.add(row.newest);
        }
        return found;
    }

    /** Returns the entries above a version, oldest first. */
    List<SettingEntry> above(long version) {
        return rows.values().stream()
                .map(row -> row.newest)
                .filter(entry -> entry.version() > version)
                .sorted(Comparator.comparingLong(SettingEntry::version))
                .toList();
    }

    /** Returns all entries as of the folded log, empty if some are known from peers alone. */
    Optional<List<SettingEntry>> folded() {
        List<SettingEntry> entries = new ArrayList<>(rows.size());
        for (Map.Entry<String, Row> row : rows.entrySet()) {
            if (row.getValue().foldedVersion != row.getValue().newest.version()) {
                return Optional.empty();
            }
            entries.add(row.getValue().newest);
        }
        return Optional.of(entries);
    }

    /** Returns 1 if a path has been set since the last call for it, -1 if it has been deleted, 0 otherwise. */
    int settleDifference(String path) {
        Row row = rows.get(path);
        if (row == null) {
            return 0;
        }
        boolean isSet = row.newest.value().isPresent();
        int difference = (isSet ? 1 : 0) - (row.settledAsSet ? 1 : 0);
        row.settledAsSet = isSet;
        return difference;
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
        private boolean settledAsSet;

        boolean takeNewer(SettingEntry entry) {
            if (newest != null && newest.version() >= entry.version()) {
                return false;
            }
            newest = entry;
            return true;
        }
    }
}

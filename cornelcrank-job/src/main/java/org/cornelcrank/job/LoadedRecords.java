package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import org.cornelcrank.core.JobId;
import org.cornelcrank.core.StoreResponse;

/**
 * Holds the results of a partition that this daemon has read from the store while it loads the
 * partition.
 *
 * <p>Invariants: each was read after former owners had been fenced off, so that it does not change; a result that is not
 * held may still be in the store. Not thread-safe: confined to the daemon's event loop.
 */
final class LoadedRecords {

    private final TreeMap<String, StoreResponse.StoredRecord> results = new TreeMap<>();

    /** Adds a result; other records are ignored. */
    void add(StoreResponse.StoredRecord record) {
        JobRecords.key(record.key())
                .filter(key -> key.kind() == JobRecords.Kind.NUMBERED)
                .ifPresent(key -> results.put(record.key(), record));
    }

    /** Returns the results of a job from a position on, as far as they are held without a gap. */
    List<StoreResponse.StoredRecord> results(JobId job, int fromPosition) {
        List<StoreResponse.StoredRecord> found = new ArrayList<>();
        StoreResponse.StoredRecord next = results.get(JobRecords.resultKey(job, fromPosition));
        while (next != null) {
            found.add(next);
            next = results.get(JobRecords.resultKey(job, fromPosition + found.size()));
        }
        return found;
    }

    void clear() {
        results.clear();
    }
}

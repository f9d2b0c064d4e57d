package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.cornelcrank.core.JobId;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.job.wire.WireJobPart;

/**
 * Holds the records of a partition that its owner has read from the store but not yet assigned to a job.
 *
 * <p>These are results, progress of items, and parts of incomplete jobs. Also tracks the items whose progress is
 * stored, so that it can be dropped later. Not thread-safe: confined to the daemon's event loop.
 */
final class StoredRecords {

    private final Map<JobId, TreeMap<Integer, JobRecords.StoredResult>> results = new HashMap<>();
    private final Map<JobId, Map<Integer, JobRecords.StoredProgress>> progress = new HashMap<>();
    private final Map<JobId, Set<Integer>> itemsWithProgress = new HashMap<>();
    private final Map<JobId, JobParts> incompleteJobs = new HashMap<>();

    /** Adds a record of the results topic. */
    void loaded(StoreResponse.StoredRecord record) {
        JobRecords.key(record.key()).ifPresent(key -> {
            if (key.kind() == JobRecords.Kind.PROGRESS) {
                JobRecords.progress(record)
                        .ifPresent(decoded -> progress.computeIfAbsent(key.job(), job -> new TreeMap<>())
                                .put(key.number(), decoded));
            } else {
                JobRecords.result(record)
                        .ifPresent(decoded -> results.computeIfAbsent(key.job(), job -> new TreeMap<>())
                                .put(key.number(), decoded));
            }
        });
    }

    /** Adds a part of a job, and returns all parts of the job that have been received. */
    JobParts partReceived(JobId job, String key, WireJobPart part, long nowMs) {
        JobParts parts = incompleteJobs.computeIfAbsent(job, id -> new JobParts());
        parts.put(key, part, nowMs);
        return parts;
    }

    /** Returns the jobs of which some parts have been received, but no form in full. */
    Map<JobId, JobParts> incompleteJobs() {
        Map<JobId, JobParts> incomplete = new HashMap<>(incompleteJobs);
        incomplete.values().removeIf(JobParts::complete);
        return incomplete;
    }

    /** Removes a part of a job that has been dropped from the store. */
    void partDropped(JobId job, String key) {
        JobParts parts = incompleteJobs.get(job);
        if (parts != null) {
            parts.drop(key);
            if (parts.isEmpty()) {
                incompleteJobs.remove(job);
            }
        }
    }

    /** Passes the stored results and progress of a job to its run. */
    void restore(JobRun run) {
        incompleteJobs.remove(run.id());
        TreeMap<Integer, JobRecords.StoredResult> stored = results.remove(run.id());
        if (stored != null) {
            for (int position = 0; stored.containsKey(position); position++) {
                run.restore(stored.get(position));
            }
        }
        Map<Integer, JobRecords.StoredProgress> savedProgress = progress.remove(run.id());
        if (savedProgress != null) {
            itemsWithProgress.put(run.id(), new TreeSet<>(savedProgress.keySet()));
            savedProgress.forEach((item, saved) -> {
                if (item < run.content().items().size() && !run.isFinished(item)) {
                    run.progress(item).restore(saved);
                }
            });
        }
    }

    /** Returns the record that saves an item's progress. */
    KeyedRecord saveProgress(JobId job, int item, JobRun.ItemProgress itemProgress) {
        itemsWithProgress.computeIfAbsent(job, id -> new TreeSet<>()).add(item);
        return JobRecords.progress(
                job,
                item,
                new JobRecords.StoredProgress(itemProgress.events(), itemProgress.text(), itemProgress.generator()));
    }

    /** Returns the record that drops an item's progress from the store, empty if none is stored. */
    Optional<KeyedRecord> dropProgress(JobId job, int item) {
        Set<Integer> ofJob = itemsWithProgress.get(job);
        return ofJob == null || !ofJob.remove(item)
                ? Optional.empty()
                : Optional.of(KeyedRecord.tombstone(JobRecords.progressKey(job, item)));
    }

    /** Returns the records that drop all progress of a job from the store. */
    List<KeyedRecord> dropProgress(JobId job) {
        List<KeyedRecord> dropped = new ArrayList<>();
        for (int item : List.copyOf(itemsWithProgress.getOrDefault(job, Set.of()))) {
            dropProgress(job, item).ifPresent(dropped::add);
        }
        itemsWithProgress.remove(job);
        return dropped;
    }
}

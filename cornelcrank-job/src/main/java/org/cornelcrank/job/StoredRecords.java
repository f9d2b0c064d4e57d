package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.job.wire.WireJobPart;

/**
 * What an owner has read of its partition from the store and not yet made a job of: results, progress and parts; and of
 * which items the progress lies there.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class StoredRecords {

    private final Map<JobId, TreeMap<Integer, JobRecords.StoredResult>> results = new HashMap<>();
    private final Map<JobId, Map<Integer, JobRecords.StoredProgress>> progress = new HashMap<>();
    private final Map<JobId, Set<Integer>> itemsWithProgress = new HashMap<>();
    private final Map<JobId, Map<Integer, WireJobPart>> incomplete = new HashMap<>();

    /** Takes a record of the results' topic. */
    void loaded(StoreResponse.StoredRecord record) {
        JobRecords.key(record.key()).ifPresent(key -> {
            if (key.kind() == JobRecords.Kind.PROGRESS) {
                JobRecords.progress(record)
                        .ifPresent(read -> progress.computeIfAbsent(key.job(), job -> new TreeMap<>())
                                .put(key.number(), read));
            } else {
                JobRecords.result(record).ifPresent(read -> results.computeIfAbsent(key.job(), job -> new TreeMap<>())
                        .put(key.number(), read));
            }
        });
    }

    /** Takes a part of a job; returns all parts once the last of them has come. */
    Optional<List<WireJobPart>> partCame(JobId job, WireJobPart part) {
        Map<Integer, WireJobPart> parts = incomplete.computeIfAbsent(job, id -> new TreeMap<>());
        parts.put(part.getIndex(), part);
        if (parts.size() < part.getParts()) {
            return Optional.empty();
        }
        incomplete.remove(job);
        return Optional.of(List.copyOf(parts.values()));
    }

    /** Joins the contents of all parts of a job. */
    static Optional<JobContent> join(List<WireJobPart> parts) {
        ByteString content = ByteString.EMPTY;
        for (WireJobPart part : parts) {
            content = content.concat(part.getContent());
        }
        return JobRecords.content(content);
    }

    /** Gives a job its results and progress. */
    void restore(JobRun run) {
        TreeMap<Integer, JobRecords.StoredResult> stored = results.remove(run.id());
        if (stored != null) {
            for (int position = 0; stored.containsKey(position); position++) {
                run.restore(stored.get(position));
            }
        }
        Map<Integer, JobRecords.StoredProgress> come = progress.remove(run.id());
        if (come != null) {
            itemsWithProgress.put(run.id(), new TreeSet<>(come.keySet()));
            come.forEach((item, read) -> {
                if (item < run.content().items().size() && !run.isFinished(item)) {
                    run.progress(item).restore(read.events(), read.text());
                }
            });
        }
    }

    /** Returns the record that saves an item's progress. */
    KeyedRecord saveProgress(JobId job, int item, JobRun.ItemProgress come) {
        itemsWithProgress.computeIfAbsent(job, id -> new TreeSet<>()).add(item);
        return JobRecords.progress(job, item, new JobRecords.StoredProgress(come.events(), come.text()));
    }

    /** Returns the record that drops an item's progress from the store, empty if there is none. */
    Optional<KeyedRecord> dropProgress(JobId job, int item) {
        Set<Integer> ofJob = itemsWithProgress.get(job);
        return ofJob == null || !ofJob.remove(item)
                ? Optional.empty()
                : Optional.of(KeyedRecord.dropping(JobRecords.progressKey(job, item)));
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

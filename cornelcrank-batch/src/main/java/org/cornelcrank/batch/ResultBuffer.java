package org.cornelcrank.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.JobId;

/**
 * Groups the results of one partition into records, and notifies its listener when they were read back.
 *
 * <p>A record is proposed when it is full, when its oldest result has waited long enough, or when its job has no other
 * item running or waiting. Not thread-safe: confined to the daemon's event loop.
 */
final class ResultBuffer {

    private static final int OVERHEAD_BYTES_PER_RESULT = 128;

    private final BatchContext context;
    private final PendingWrites writes;
    private final RecordedListener listener;
    private final SortedMap<JobId, Group> groups = new TreeMap<>();
    private long heldBytes;

    ResultBuffer(BatchContext context, PendingWrites writes, RecordedListener listener) {
        this.context = context;
        this.writes = writes;
        this.listener = listener;
    }

    void add(JobId job, ResultLine result, long nowMs, Effects out) {
        Group group = group(job, nowMs, out);
        long bytes = result.body().size() + OVERHEAD_BYTES_PER_RESULT;
        if (!group.results.isEmpty() && group.bytes + bytes > context.limits().maxRecordBytes()) {
            flush(job, false, nowMs, out);
            group = group(job, nowMs, out);
        }
        group.results.add(result);
        group.bytes += bytes;
        hold(bytes);
        if (group.results.size() >= context.limits().maxResultsPerRecord()) {
            flush(job, false, nowMs, out);
        }
    }

    /** Buffers the number of failed attempts of an item that will be retried. */
    void countAttempts(JobId job, int item, int attempts, long nowMs, Effects out) {
        group(job, nowMs, out).attempts.put(item, attempts);
    }

    /** Proposes the groups that are due, and arms the timer for the others. */
    void flushDue(long nowMs, Effects out) {
        for (JobId job : List.copyOf(groups.keySet())) {
            long dueAtMs = groups.get(job).startedAtMs + context.limits().resultDelayMs();
            if (dueAtMs <= nowMs) {
                flush(job, false, nowMs, out);
            } else {
                context.resultTimer().arm(dueAtMs, out);
            }
        }
    }

    /** Proposes the buffered results and attempts of a job; {@code urgent} if the job ends with them. */
    void flush(JobId job, boolean urgent, long nowMs, Effects out) {
        Group group = groups.remove(job);
        if (group == null) {
            return;
        }
        if (!group.attempts.isEmpty()) {
            writes.propose(BatchRecords.itemsTried(job, group.attempts), false, (atMs, effects) -> {}, nowMs, out);
        }
        if (!group.results.isEmpty()) {
            writes.propose(
                    BatchRecords.itemsFinished(job, group.results),
                    urgent,
                    (atMs, effects) -> recorded(job, group.bytes, atMs, effects),
                    nowMs,
                    out);
        }
    }

    /** Discards all results, including proposed ones; the next owner reruns the items that were not recorded. */
    void clear() {
        groups.clear();
        context.budget().release(heldBytes);
        heldBytes = 0;
    }

    private Group group(JobId job, long nowMs, Effects out) {
        context.resultTimer().arm(nowMs + context.limits().resultDelayMs(), out);
        return groups.computeIfAbsent(job, key -> new Group(nowMs));
    }

    private void recorded(JobId job, long bytes, long nowMs, Effects out) {
        heldBytes -= bytes;
        boolean resumed = context.budget().release(bytes);
        listener.resultsRecorded(job, resumed, nowMs, out);
    }

    private void hold(long bytes) {
        heldBytes += bytes;
        context.budget().hold(bytes);
    }

    /** Notified when results of a job were read back; {@code resumed} if this allows items to start again. */
    interface RecordedListener {
        void resultsRecorded(JobId job, boolean resumed, long nowMs, Effects out);
    }

    /** Results and attempts of one job for the next record. */
    private static final class Group {

        private final long startedAtMs;
        private final List<ResultLine> results = new ArrayList<>();
        private final SortedMap<Integer, Integer> attempts = new TreeMap<>();
        private long bytes;

        Group(long startedAtMs) {
            this.startedAtMs = startedAtMs;
        }
    }
}

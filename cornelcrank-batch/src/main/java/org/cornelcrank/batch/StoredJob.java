package org.cornelcrank.batch;

import java.util.BitSet;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.cornelcrank.batch.wire.ItemAttempts;
import org.cornelcrank.batch.wire.JobSnapshot;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.partition.RecordPosition;

/**
 * State of a job in its partition: one bit per item, and the positions of the results.
 *
 * <p>Invariants: an item is counted at most once; nothing is counted after the job has ended. Attempts are stored only
 * for items that have failed attempts and have not ended. Not thread-safe: confined to the daemon's event loop.
 */
final class StoredJob {

    private final Terms terms;
    private final BitSet finishedItems;
    private final SortedMap<Integer, Integer> attempts = new TreeMap<>();
    private final RecordPages results;
    private int finished;
    private int failed;
    private JobState state = JobState.IN_PROGRESS;
    private long finishedAtMs;

    StoredJob(Terms terms) {
        this(terms, new BitSet(terms.total()), new RecordPages());
    }

    private StoredJob(Terms terms, BitSet finishedItems, RecordPages results) {
        this.terms = terms;
        this.finishedItems = finishedItems;
        this.results = results;
        this.finished = finishedItems.cardinality();
    }

    static StoredJob of(JobSnapshot snapshot) {
        Terms terms = new Terms(
                new JobId(snapshot.getJob()),
                new TeamPath(snapshot.getTeam()),
                new FileId(snapshot.getFile()),
                snapshot.getEndpoint(),
                new ServiceName(snapshot.getService()),
                snapshot.getTotal(),
                snapshot.getCreatedAtMs(),
                snapshot.getDeadlineAtMs(),
                snapshot.getMetadataMap());
        StoredJob job = new StoredJob(
                terms,
                BitSet.valueOf(snapshot.getFinishedItems().asReadOnlyByteBuffer()),
                RecordPages.of(snapshot.getPages()));
        snapshot.getAttemptsList().forEach(item -> job.attempts.put(item.getItem(), item.getAttempts()));
        job.failed = snapshot.getFailed();
        job.state = JobState.valueOf(snapshot.getState());
        job.finishedAtMs = snapshot.getFinishedAtMs();
        return job;
    }

    Terms terms() {
        return terms;
    }

    JobState state() {
        return state;
    }

    boolean ended() {
        return state != JobState.IN_PROGRESS;
    }

    long finishedAtMs() {
        return finishedAtMs;
    }

    int remaining() {
        return terms.total() - finished;
    }

    boolean itemFinished(int item) {
        return finishedItems.get(item);
    }

    /** Returns the first unfinished item at or after the given one, or the total if there is none. */
    int nextUnfinished(int fromItem) {
        return Math.min(finishedItems.nextClearBit(fromItem), terms.total());
    }

    /** Returns the first finished item at or after the given one, or the total if there is none. */
    int nextFinished(int fromItem) {
        int next = finishedItems.nextSetBit(fromItem);
        return next < 0 ? terms.total() : next;
    }

    int attempts(int item) {
        return attempts.getOrDefault(item, 0);
    }

    RecordPages results() {
        return results;
    }

    /** Counts an item as ended unless it or the job has already ended; returns whether it was counted. */
    boolean finishItem(int item, boolean itemFailed) {
        if (ended() || item < 0 || item >= terms.total() || finishedItems.get(item)) {
            return false;
        }
        finishedItems.set(item);
        attempts.remove(item);
        finished++;
        if (itemFailed) {
            failed++;
        }
        return true;
    }

    void resultsRecorded(int firstItem, int lastItem, RecordPosition position, long atMs) {
        results.add(firstItem, lastItem, position);
        if (remaining() == 0) {
            state = JobState.COMPLETED;
            finishedAtMs = atMs;
        }
    }

    void countAttempts(int item, int count) {
        if (!ended() && item >= 0 && item < terms.total() && !finishedItems.get(item)) {
            attempts.merge(item, count, Math::max);
        }
    }

    void cancel(long atMs) {
        if (!ended()) {
            state = JobState.CANCELLED;
            finishedAtMs = atMs;
            attempts.clear();
        }
    }

    /** Returns the memory used by the item states and the result positions, in bytes. */
    long allocatedBytes() {
        return finishedItems.size() / Byte.SIZE + results.allocatedBytes();
    }

    JobSnapshot snapshot() {
        JobSnapshot.Builder snapshot = JobSnapshot.newBuilder()
                .setJob(terms.job().value())
                .setTeam(terms.team().value())
                .setFile(terms.file().value())
                .setEndpoint(terms.endpoint())
                .setService(terms.service().value())
                .setState(state.name())
                .setTotal(terms.total())
                .setFailed(failed)
                .setCreatedAtMs(terms.createdAtMs())
                .setDeadlineAtMs(terms.deadlineAtMs())
                .setFinishedAtMs(finishedAtMs)
                .putAllMetadata(terms.metadata())
                .setFinishedItems(ByteString.copyFrom(finishedItems.toByteArray()))
                .setPages(results.snapshot());
        attempts.forEach((item, count) ->
                snapshot.addAttempts(ItemAttempts.newBuilder().setItem(item).setAttempts(count)));
        return snapshot.build();
    }

    JobInfo info(long nowMs) {
        return new JobInfo(
                terms.job(),
                terms.team(),
                terms.file(),
                terms.endpoint(),
                terms.service(),
                state,
                terms.total(),
                finished - failed,
                failed,
                terms.createdAtMs(),
                terms.deadlineAtMs(),
                finishedAtMs,
                terms.metadata(),
                deadlineAtRisk(nowMs));
    }

    /** Returns whether the job will miss its deadline if it continues at its average pace since its creation. */
    boolean deadlineAtRisk(long nowMs) {
        if (ended()) {
            return finishedAtMs > terms.deadlineAtMs();
        }
        long elapsedMs = nowMs - terms.createdAtMs();
        if (finished == 0) {
            return elapsedMs > (terms.deadlineAtMs() - terms.createdAtMs()) / 2;
        }
        double remainingMs = (double) elapsedMs / finished * remaining();
        return nowMs + remainingMs > terms.deadlineAtMs();
    }

    /** The fixed properties of a job. Immutable, thus thread-safe. */
    record Terms(
            JobId job,
            TeamPath team,
            FileId file,
            String endpoint,
            ServiceName service,
            int total,
            long createdAtMs,
            long deadlineAtMs,
            Map<String, String> metadata) {

        Terms {
            metadata = Map.copyOf(metadata);
        }
    }
}

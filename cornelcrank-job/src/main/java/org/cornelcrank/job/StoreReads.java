package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.TopicPartition;
import org.cornelcrank.job.wire.WireJobPart;
import org.cornelcrank.store.StoreCalls;

/**
 * Reads jobs from the store for callers whom no owner serves, a few at a time.
 *
 * <p>All hosts of a region share a link to the store, so a read takes only the records of its job, serves all callers
 * that ask for the same, and ends with the last of them. Reads that cannot start yet wait in the order of their
 * deadlines; one that would have to wait and not be done by its deadline is refused at once. Invariants: each reader
 * gets exactly one reply unless it is removed; a job is reported as missing only after a read from the store that began
 * later than the question and did not find it. Not thread-safe: confined to the daemon's event loop.
 */
final class StoreReads {

    /** The limit of concurrent reads, which together share the daemon's part of the link to the store. */
    private static final int MAX_RUNNING = 2;

    /** The number of jobs whose item count is cached, which saves reading it from the store. */
    private static final int MAX_CACHED_ITEM_COUNTS = 4_096;

    /** The delay after which a caller may retry when the store has failed, in ms. */
    private static final long RETRY_AFTER_MS = 300;

    /** The expected duration of a read before any has ended, in ms. */
    private static final long INITIAL_DURATION_MS = 100;

    /** The weight of the last duration in the expected one. */
    private static final double DURATION_WEIGHT = 0.3;

    private final StoreCalls store;
    private final Map<Key, StoreRead> reads = new LinkedHashMap<>();
    private final Map<JobId, Integer> itemCounts = new LinkedHashMap<>(16, 0.75f, true) {

        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, Integer> eldest) {
            return size() > MAX_CACHED_ITEM_COUNTS;
        }
    };
    private double expectedDurationMs = INITIAL_DURATION_MS;
    private long started;
    private long cancelled;
    private long refused;

    StoreReads(StoreCalls store) {
        this.store = Objects.requireNonNull(store, "store must not be null");
    }

    /** Records the number of items of a job. */
    void itemCountKnown(JobId job, int items) {
        itemCounts.put(job, items);
    }

    /**
     * Reads for a caller; the listener receives the results or the body, that there is no such job, or a refusal.
     *
     * @param deadlineAtMs when the caller leaves, in ms
     */
    void read(
            RequestId reader,
            JobMessage.ReadRequest readRequest,
            int partition,
            long deadlineAtMs,
            Listener listener,
            long nowMs,
            Effects out) {
        Key key = new Key(readRequest.job(), readRequest.fromPosition(), readRequest.bodyOfItem());
        StoreRead read = reads.get(key);
        if (read == null) {
            if (reads.size() >= MAX_RUNNING && expectedEndMs(nowMs) > deadlineAtMs) {
                refused++;
                listener.ended(refusal("the reads before it would not leave it enough time"), nowMs, out);
                return;
            }
            read = new StoreRead(key, partition);
            reads.put(key, read);
        }
        read.readers.put(reader, new Reader(deadlineAtMs, listener, read.running));
        startNext(nowMs, out);
    }

    private double expectedEndMs(long nowMs) {
        return nowMs + (1 + (double) reads.size() / MAX_RUNNING) * expectedDurationMs;
    }

    static Refusal refusal(String reason) {
        return Refusal.notRun(
                RefusalCode.STORE_UNAVAILABLE,
                "the job cannot be read from its owner, nor from the store: " + reason,
                RETRY_AFTER_MS);
    }

    /** Removes a caller that has left or was served otherwise; the read ends if it was the last one. */
    void remove(RequestId reader, long nowMs, Effects out) {
        boolean removed = false;
        for (StoreRead read : List.copyOf(reads.values())) {
            if (read.readers.remove(reader) != null && read.readers.isEmpty()) {
                removed = true;
                reads.remove(read.key);
                if (read.running) {
                    cancelled++;
                    tookAtLeast(nowMs - read.startedAtMs);
                    store.cancel(read.callNumber, out);
                }
            }
        }
        if (removed) {
            startNext(nowMs, out);
        }
    }

    /** Records how long a read has run that was cancelled; one that was served sooner says nothing. */
    private void tookAtLeast(long durationMs) {
        if (durationMs > expectedDurationMs) {
            took(durationMs);
        }
    }

    private void took(long durationMs) {
        expectedDurationMs += DURATION_WEIGHT * (durationMs - expectedDurationMs);
    }

    private void startNext(long nowMs, Effects out) {
        while (reads.values().stream().filter(read -> read.running).count() < MAX_RUNNING) {
            Optional<StoreRead> next = reads.values().stream()
                    .filter(read -> !read.running)
                    .min(Comparator.comparing(StoreRead::deadlineAtMs));
            if (next.isEmpty()) {
                return;
            }
            boolean othersWait = reads.values().stream().anyMatch(read -> !read.running && read != next.get());
            if (!othersWait || nowMs + expectedDurationMs <= next.get().deadlineAtMs()) {
                start(next.get(), nowMs, out);
            } else {
                refuseLate(next.get(), nowMs, out);
            }
        }
    }

    /** Refuses the callers of a waiting read that would end after their deadlines. */
    private void refuseLate(StoreRead read, long nowMs, Effects out) {
        Map<RequestId, Reader> late = new LinkedHashMap<>(read.readers);
        late.values().removeIf(reader -> nowMs + expectedDurationMs <= reader.deadlineAtMs());
        read.readers.keySet().removeAll(late.keySet());
        if (read.readers.isEmpty()) {
            reads.remove(read.key);
        }
        refused += late.size();
        late.values().forEach(reader -> reader.listener().ended(refusal("its turn came too late"), nowMs, out));
    }

    private void start(StoreRead read, long nowMs, Effects out) {
        started++;
        read.running = true;
        read.startedAtMs = nowMs;
        JobId job = read.key.job();
        if (read.key.bodyOfItem().isPresent()) {
            readParts(read, JobRecords.prefix(job), new JobParts(), out);
            return;
        }
        call(
                read,
                JobRecords.results(read.partition),
                JobRecords.keyBefore(job, read.key.fromPosition()),
                JobRecords.keyAfterResults(job),
                (page, atMs, effects) -> readItemCount(read, results(read.key, page), atMs, effects),
                out);
    }

    private void call(
            StoreRead read,
            TopicPartition partition,
            String afterKey,
            String beforeKey,
            PageListener listener,
            Effects out) {
        read.callNumber = store.call(
                new StoreRequest.ReadNewest(partition, afterKey, beforeKey),
                (response, nowMs, effects) -> {
                    if (response instanceof StoreResponse.Newest page) {
                        listener.received(page, nowMs, effects);
                    } else {
                        end(read, refusal(response.toString()), response.toString(), nowMs, effects);
                    }
                },
                out);
    }

    private static List<ListedResult> results(Key key, StoreResponse.Newest page) {
        List<ListedResult> results = new ArrayList<>();
        int bytes = 0;
        for (StoreResponse.StoredRecord record : page.records()) {
            boolean next = record.key().equals(JobRecords.resultKey(key.job(), key.fromPosition() + results.size()));
            Optional<JobRecords.StoredResult> result = next ? JobRecords.result(record) : Optional.empty();
            if (result.isEmpty()) {
                break;
            }
            bytes += result.get().result().text().size();
            if (!results.isEmpty() && bytes > WaitingReads.MAX_PAGE_BYTES) {
                break;
            }
            results.add(result.get().result());
        }
        return results;
    }

    private void readItemCount(StoreRead read, List<ListedResult> results, long nowMs, Effects out) {
        Integer cached = itemCounts.get(read.key.job());
        if (cached != null) {
            endWithPage(read, cached, results, nowMs, out);
            return;
        }
        String prefix = JobRecords.prefix(read.key.job());
        call(
                read,
                JobRecords.jobs(read.partition),
                prefix,
                JobRecords.partKey(read.key.job(), 0),
                (page, atMs, effects) -> firstPart(page)
                        .ifPresentOrElse(
                                head -> endWithPage(read, head.getItems(), results, atMs, effects),
                                () -> readFirstPart(read, results, effects)),
                out);
    }

    private static Optional<WireJobPart> firstPart(StoreResponse.Newest page) {
        return page.records().stream().findFirst().flatMap(record -> JobRecords.part(record.value()));
    }

    /** Reads the first part of a job that an earlier release has stored without the record of its number of items. */
    private void readFirstPart(StoreRead read, List<ListedResult> results, Effects out) {
        JobId job = read.key.job();
        call(
                read,
                JobRecords.jobs(read.partition),
                JobRecords.prefix(job),
                JobRecords.partKey(job, 1),
                (page, nowMs, effects) -> firstPart(page)
                        .ifPresentOrElse(
                                part -> endWithPage(read, part.getItems(), results, nowMs, effects),
                                () -> end(
                                        read,
                                        Refusal.notRun(RefusalCode.NOT_FOUND, "there is no job " + job),
                                        "no such job",
                                        nowMs,
                                        effects)),
                out);
    }

    private void readParts(StoreRead read, String afterKey, JobParts parts, Effects out) {
        JobId job = read.key.job();
        call(
                read,
                JobRecords.jobs(read.partition),
                afterKey,
                JobRecords.keyAfter(job),
                (page, nowMs, effects) -> {
                    boolean ended = false;
                    for (StoreResponse.StoredRecord record : page.records()) {
                        Optional<JobRecords.Key> key = JobRecords.key(record.key());
                        ended |= key.isPresent() && key.get().kind() == JobRecords.Kind.END;
                        key.filter(parsed -> parsed.kind() == JobRecords.Kind.NUMBERED)
                                .flatMap(parsed -> JobRecords.part(record.value()))
                                .ifPresent(part -> parts.put(record.key(), part, nowMs));
                    }
                    if (page.more() && !page.records().isEmpty()) {
                        readParts(
                                read,
                                page.records().get(page.records().size() - 1).key(),
                                parts,
                                effects);
                        return;
                    }
                    Optional<JobContent> content = ended ? Optional.empty() : parts.content();
                    if (!ended && content.isEmpty() && !parts.isEmpty()) {
                        String reason = "its records are incomplete or cannot be decoded";
                        end(read, refusal(reason), reason, nowMs, effects);
                        return;
                    }
                    Optional<ByteString> body = content.flatMap(present -> body(read.key, present));
                    end(read, JobReads.body(body), body.isPresent() ? "an item's body" : "no body", nowMs, effects);
                },
                out);
    }

    private static Optional<ByteString> body(Key key, JobContent content) {
        return content.items().stream()
                .filter(item -> item.id().equals(key.bodyOfItem().orElseThrow()))
                .map(JobItem::body)
                .findFirst();
    }

    private void endWithPage(StoreRead read, int items, List<ListedResult> results, long nowMs, Effects out) {
        itemCounts.put(read.key.job(), items);
        JobPage page = new JobPage(items, read.key.fromPosition(), results);
        end(read, page, results.size() + " results of " + items + " items", nowMs, out);
    }

    private void end(StoreRead read, CallerReply reply, String outcome, long nowMs, Effects out) {
        reads.remove(read.key);
        long durationMs = nowMs - read.startedAtMs;
        took(durationMs);
        out.explain(
                Subject.Kind.JOB,
                read.key.job(),
                nowMs,
                "read from the store ended",
                "partition " + read.partition + ", from position " + read.key.fromPosition() + ": " + outcome
                        + ", after " + durationMs + " ms, for " + read.readers.size() + " callers");
        boolean missing = reply instanceof Refusal refusal && refusal.code() == RefusalCode.NOT_FOUND;
        if (missing) {
            readAgain(read);
        }
        List.copyOf(read.readers.values()).forEach(reader -> reader.listener().ended(reply, nowMs, out));
        startNext(nowMs, out);
    }

    /** Moves those who have joined a running read to a new one, as the store may have got the job meanwhile. */
    private void readAgain(StoreRead read) {
        StoreRead again = new StoreRead(read.key, read.partition);
        read.readers.forEach((request, reader) -> {
            if (reader.joined()) {
                again.readers.put(request, new Reader(reader.deadlineAtMs(), reader.listener(), false));
            }
        });
        read.readers.keySet().removeAll(again.readers.keySet());
        if (!again.readers.isEmpty()) {
            reads.put(again.key, again);
        }
    }

    void dump(StateWriter writer) {
        writer.field("storeReads", started);
        writer.field("openStoreReads", reads.size());
        writer.field("cancelledStoreReads", cancelled);
        writer.field("refusedStoreReads", refused);
    }

    /** Receives the reply to a read. */
    interface Listener {
        void ended(CallerReply reply, long nowMs, Effects out);
    }

    /** Receives a page of records. */
    private interface PageListener {
        void received(StoreResponse.Newest page, long nowMs, Effects out);
    }

    private record Key(JobId job, int fromPosition, Optional<String> bodyOfItem) {}

    /** A caller; {@code joined} is true if the read already ran when it asked. */
    private record Reader(long deadlineAtMs, Listener listener, boolean joined) {}

    /** A read that waits or runs, with the callers that it serves. */
    private static final class StoreRead {

        private final Key key;
        private final int partition;
        private final Map<RequestId, Reader> readers = new LinkedHashMap<>();
        private boolean running;
        private long startedAtMs;
        private long callNumber;

        StoreRead(Key key, int partition) {
            this.key = key;
            this.partition = partition;
        }

        long deadlineAtMs() {
            return readers.values().stream()
                    .mapToLong(Reader::deadlineAtMs)
                    .min()
                    .orElse(Long.MAX_VALUE);
        }
    }
}

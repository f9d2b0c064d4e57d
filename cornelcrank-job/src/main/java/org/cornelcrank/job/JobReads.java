package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.job.wire.WireJobPart;
import org.cornelcrank.store.StoreCalls;

/**
 * Reads jobs for callers: from the owner of the partition, or else from the store.
 *
 * <p>Invariant: a job is said not to exist only if the store has just said so. Not thread-safe: confined to the daemon's
 * event loop.
 */
final class JobReads {

    /** How long an owner's answer may take beyond the time that it was asked to wait, in ms: ways across regions. */
    private static final long ANSWER_MARGIN_MS = 350;

    /**
     * How many reads of this daemon may be under way at the store: a page has up to 1 MB, and more of them at once fill the
     * link between regions, so that none ends in time.
     */
    private static final int MAX_STORE_READS = 2;

    /** Jobs whose number of items is remembered, which saves reading their bodies from the store. */
    private static final int MAX_TOTALS = 4_096;

    /** When a caller may come back after the store has failed, in ms. */
    private static final long RETRY_AFTER_MS = 300;

    private final JobSettings settings;
    private final StoreCalls store;
    private final TimerKey timer;
    private final Owners owners;
    private final Map<Long, Reading> asked = new HashMap<>();
    private final Map<JobId, Integer> totals = new LinkedHashMap<>(16, 0.75f, true) {

        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, Integer> eldest) {
            return size() > MAX_TOTALS;
        }
    };
    private int storeReads;
    private long lastNumber;

    JobReads(JobSettings settings, StoreCalls store, TimerKey timer, Owners owners) {
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.store = Objects.requireNonNull(store, "store must not be null");
        this.timer = Objects.requireNonNull(timer, "timer must not be null");
        this.owners = Objects.requireNonNull(owners, "owners must not be null");
    }

    void read(RequestId request, ReadJob read, long nowMs, Effects out) {
        ask(request, read.job(), read.fromPosition(), read.waitMs(), Optional.empty(), nowMs, out);
    }

    void readBody(RequestId request, ReadItemBody read, long nowMs, Effects out) {
        ask(request, read.job(), 0, 0, Optional.of(read.itemId()), nowMs, out);
    }

    private void ask(
            RequestId request,
            JobId job,
            int fromPosition,
            long waitMs,
            Optional<String> bodyOf,
            long nowMs,
            Effects out) {
        long number = ++lastNumber;
        JobMessage.ReadRequest ask = new JobMessage.ReadRequest(number, job, fromPosition, waitMs, bodyOf);
        int partition = JobRecords.partitionOf(job, settings.partitions());
        Optional<HostId> owner = owners.likelyOwner(partition);
        Reading reading = new Reading(request, ask, partition, owner, nowMs + waitMs + ANSWER_MARGIN_MS);
        if (owner.isEmpty()) {
            readStore(reading, out);
            return;
        }
        asked.put(number, reading);
        out.schedule(timer, earliestMs());
        owners.ask(owner.get(), ask, nowMs, out);
    }

    private long earliestMs() {
        return asked.values().stream().mapToLong(Reading::untilMs).min().orElse(Long.MAX_VALUE);
    }

    /** Takes the answer of an owner. */
    void answered(JobMessage.ReadReply answer, long nowMs, Effects out) {
        Reading reading = asked.remove(answer.number());
        if (reading == null) {
            return;
        }
        JobMessage.ReadRequest ask = reading.ask();
        if (!answer.known()) {
            owners.failed(reading.partition(), reading.owner().orElseThrow());
            readStore(reading, out);
        } else if (ask.bodyOf().isEmpty()) {
            totals.put(ask.job(), answer.totalItems());
            out.reply(reading.request(), new JobPage(answer.totalItems(), ask.fromPosition(), answer.results()));
        } else {
            out.reply(reading.request(), body(answer.body()));
        }
    }

    private static CallerReply body(Optional<ByteString> body) {
        return body.<CallerReply>map(ItemBody::new)
                .orElseGet(() -> Refusal.notRun(RefusalCode.NOT_FOUND, "the job has no such item any more"));
    }

    /** Turns to the store for what an owner has not answered in time; called when the timer is due. */
    void timerDue(long nowMs, Effects out) {
        for (Reading reading : List.copyOf(asked.values())) {
            if (nowMs >= reading.untilMs()) {
                asked.remove(reading.ask().number());
                owners.failed(reading.partition(), reading.owner().orElseThrow());
                readStore(reading, out);
            }
        }
        if (!asked.isEmpty()) {
            out.schedule(timer, Math.max(nowMs + 1, earliestMs()));
        }
    }

    private void readStore(Reading reading, Effects out) {
        JobMessage.ReadRequest ask = reading.ask();
        if (storeReads >= MAX_STORE_READS) {
            refuse(reading, "the owner does not answer, and enough others read from the store", out);
            return;
        }
        storeReads++;
        if (ask.bodyOf().isPresent()) {
            readParts(reading, JobRecords.prefix(ask.job()), new TreeMap<>(), out);
            return;
        }
        store.call(
                new StoreRequest.ReadNewest(
                        JobRecords.results(reading.partition()), JobRecords.keyBefore(ask.job(), ask.fromPosition())),
                (answer, nowMs, effects) -> {
                    if (answer instanceof StoreResponse.Newest page) {
                        readTotal(reading, results(ask, page), effects);
                    } else {
                        unsure(reading, answer, effects);
                    }
                },
                out);
    }

    private static List<ListedResult> results(JobMessage.ReadRequest ask, StoreResponse.Newest page) {
        List<ListedResult> results = new ArrayList<>();
        int bytes = 0;
        for (StoreResponse.StoredRecord record : page.records()) {
            boolean next = record.key().equals(JobRecords.resultKey(ask.job(), ask.fromPosition() + results.size()));
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

    private void readTotal(Reading reading, List<ListedResult> results, Effects out) {
        JobMessage.ReadRequest ask = reading.ask();
        Integer known = totals.get(ask.job());
        if (known != null) {
            end(reading, new JobPage(known, ask.fromPosition(), results), out);
            return;
        }
        String prefix = JobRecords.prefix(ask.job());
        store.call(
                new StoreRequest.ReadNewest(JobRecords.jobs(reading.partition()), prefix),
                (answer, nowMs, effects) -> {
                    if (!(answer instanceof StoreResponse.Newest page)) {
                        unsure(reading, answer, effects);
                        return;
                    }
                    Optional<WireJobPart> part = page.records().stream()
                            .filter(record -> record.key().startsWith(prefix))
                            .filter(record -> !record.key().equals(JobRecords.endKey(ask.job())))
                            .findFirst()
                            .flatMap(record -> JobRecords.part(record.value()));
                    part.ifPresent(found -> totals.put(ask.job(), found.getItems()));
                    CallerReply reply = part.<CallerReply>map(
                                    found -> new JobPage(found.getItems(), ask.fromPosition(), results))
                            .orElseGet(() -> Refusal.notRun(RefusalCode.NOT_FOUND, "there is no job " + ask.job()));
                    end(reading, reply, effects);
                },
                out);
    }

    private void readParts(Reading reading, String afterKey, Map<Integer, WireJobPart> parts, Effects out) {
        JobMessage.ReadRequest ask = reading.ask();
        String prefix = JobRecords.prefix(ask.job());
        store.call(
                new StoreRequest.ReadNewest(JobRecords.jobs(reading.partition()), afterKey),
                (answer, nowMs, effects) -> {
                    if (!(answer instanceof StoreResponse.Newest page)) {
                        unsure(reading, answer, effects);
                        return;
                    }
                    String last = afterKey;
                    boolean further = page.more();
                    boolean ended = false;
                    for (StoreResponse.StoredRecord record : page.records()) {
                        last = record.key();
                        if (!record.key().startsWith(prefix)) {
                            further = false;
                            break;
                        }
                        ended |= record.key().equals(JobRecords.endKey(ask.job()));
                        JobRecords.part(record.value()).ifPresent(part -> parts.put(part.getIndex(), part));
                    }
                    if (further && !page.records().isEmpty()) {
                        readParts(reading, last, parts, effects);
                    } else {
                        end(reading, body(ended ? Optional.empty() : bodyOf(ask, parts)), effects);
                    }
                },
                out);
    }

    private static Optional<ByteString> bodyOf(JobMessage.ReadRequest ask, Map<Integer, WireJobPart> parts) {
        return StoredRecords.join(List.copyOf(parts.values())).flatMap(job -> job.items().stream()
                .filter(item -> item.id().equals(ask.bodyOf().orElseThrow()))
                .map(JobItem::body)
                .findFirst());
    }

    private void unsure(Reading reading, StoreResponse answer, Effects out) {
        storeReads--;
        refuse(reading, "neither the owner nor the store can tell: " + answer, out);
    }

    private void end(Reading reading, CallerReply reply, Effects out) {
        storeReads--;
        out.reply(reading.request(), reply);
    }

    private static void refuse(Reading reading, String message, Effects out) {
        out.reply(reading.request(), Refusal.notRun(RefusalCode.STORE_UNAVAILABLE, message, RETRY_AFTER_MS));
    }

    /** Knows the likely owners of partitions and reaches them. */
    interface Owners {

        Optional<HostId> likelyOwner(int partition);

        void ask(HostId owner, JobMessage.ReadRequest ask, long nowMs, Effects out);

        /** The host did not answer, or not as an owner. */
        void failed(int partition, HostId owner);
    }

    private record Reading(
            RequestId request, JobMessage.ReadRequest ask, int partition, Optional<HostId> owner, long untilMs) {}
}

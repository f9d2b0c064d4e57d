package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.CorrelationId;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.job.wire.WireJobPart;
import org.cornelcrank.store.StoreCalls;

/**
 * Reads jobs for callers: from the owner of the partition, or from the store if the owner is unknown or does not reply.
 *
 * <p>Invariants: each read gets exactly one reply; a job is reported as missing only after a read from the store that
 * did not find it. Not thread-safe: confined to the daemon's event loop.
 */
final class JobReads {

    /** How long an owner's reply may take beyond the requested wait, in ms; covers round trips between regions. */
    private static final long REPLY_MARGIN_MS = 350;

    /**
     * The limit of concurrent reads from the store. A page has up to 1 MB; more of them at once would saturate the link
     * between regions, and none would complete in time.
     */
    private static final int MAX_STORE_READS = 2;

    /** The number of jobs whose item count is cached, which saves reading the jobs from the store. */
    private static final int MAX_CACHED_ITEM_COUNTS = 4_096;

    /** The delay after which a caller may retry when the store has failed, in ms. */
    private static final long RETRY_AFTER_MS = 300;

    private final JobSettings settings;
    private final StoreCalls store;
    private final TimerKey timer;
    private final OwnerClient owners;
    private final CorrelationId.Sequence ids;
    private final Set<RequestId> open = new LinkedHashSet<>();
    private final Map<CorrelationId, PendingRead> awaitingOwner = new HashMap<>();
    private final Map<JobId, Integer> itemCounts = new LinkedHashMap<>(16, 0.75f, true) {

        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, Integer> eldest) {
            return size() > MAX_CACHED_ITEM_COUNTS;
        }
    };
    private int storeReads;
    private long readsWithoutOwner;
    private long lateReplies;

    JobReads(JobSettings settings, StoreCalls store, TimerKey timer, OwnerClient owners, CorrelationId.Sequence ids) {
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.store = Objects.requireNonNull(store, "store must not be null");
        this.timer = Objects.requireNonNull(timer, "timer must not be null");
        this.owners = Objects.requireNonNull(owners, "owners must not be null");
        this.ids = Objects.requireNonNull(ids, "ids must not be null");
    }

    void read(RequestId request, ReadJob read, long nowMs, Effects out) {
        startRead(request, read.job(), read.fromPosition(), read.waitMs(), Optional.empty(), nowMs, out);
    }

    void readBody(RequestId request, ReadItemBody read, long nowMs, Effects out) {
        startRead(request, read.job(), 0, 0, Optional.of(read.itemId()), nowMs, out);
    }

    private void startRead(
            RequestId request,
            JobId job,
            int fromPosition,
            long waitMs,
            Optional<String> bodyOfItem,
            long nowMs,
            Effects out) {
        open.add(request);
        JobMessage.ReadRequest readRequest =
                new JobMessage.ReadRequest(ids.next(), job, fromPosition, waitMs, bodyOfItem);
        int partition = JobRecords.partitionOf(job, settings.partitions());
        Optional<HostId> owner = owners.likelyOwner(partition);
        PendingRead pending =
                new PendingRead(request, readRequest, partition, owner, nowMs, nowMs + waitMs + REPLY_MARGIN_MS);
        if (owner.isEmpty()) {
            readStore(pending, "no owner is known, or it has failed", nowMs, out);
            return;
        }
        awaitingOwner.put(readRequest.id(), pending);
        out.schedule(timer, earliestMs());
        owners.sendRead(owner.get(), readRequest, nowMs, out);
    }

    private long earliestMs() {
        return awaitingOwner.values().stream()
                .mapToLong(PendingRead::deadlineAtMs)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Handles the reply of an owner. */
    void ownerReplied(JobMessage.ReadReply reply, long nowMs, Effects out) {
        PendingRead pending = awaitingOwner.remove(reply.id());
        if (pending == null) {
            lateReplies++;
            return;
        }
        JobMessage.ReadRequest readRequest = pending.readRequest();
        if (!reply.known()) {
            owners.failed(pending.partition(), pending.owner().orElseThrow());
            readStore(pending, pending.owner().orElseThrow() + " does not know the job", nowMs, out);
        } else if (readRequest.bodyOfItem().isEmpty()) {
            itemCounts.put(readRequest.job(), reply.totalItems());
            reply(pending, new JobPage(reply.totalItems(), readRequest.fromPosition(), reply.results()), out);
        } else {
            reply(pending, body(reply.body()), out);
        }
    }

    private void reply(PendingRead pending, CallerReply reply, Effects out) {
        if (open.remove(pending.request())) {
            out.reply(pending.request(), reply);
        }
    }

    private static CallerReply body(Optional<ByteString> body) {
        return body.<CallerReply>map(ItemBody::new)
                .orElseGet(() ->
                        Refusal.notRun(RefusalCode.NOT_FOUND, "there is no such item, or its job has been ended"));
    }

    /** Reads from the store what owners have not replied to in time; called when the timer is due. */
    void timerDue(long nowMs, Effects out) {
        for (PendingRead pending : List.copyOf(awaitingOwner.values())) {
            if (nowMs >= pending.deadlineAtMs()) {
                awaitingOwner.remove(pending.readRequest().id());
                owners.failed(pending.partition(), pending.owner().orElseThrow());
                readStore(pending, pending.owner().orElseThrow() + " did not reply in time", nowMs, out);
            }
        }
        if (!awaitingOwner.isEmpty()) {
            out.schedule(timer, Math.max(nowMs + 1, earliestMs()));
        }
    }

    private void readStore(PendingRead pending, String reason, long nowMs, Effects out) {
        JobMessage.ReadRequest readRequest = pending.readRequest();
        readsWithoutOwner++;
        explain(pending, nowMs, "read without its owner", reason + ", " + storeReads + " reads from the store", out);
        if (storeReads >= MAX_STORE_READS) {
            refuse(
                    pending,
                    "the job cannot be read from its owner, and this daemon has reached its limit of store reads",
                    out);
            return;
        }
        storeReads++;
        if (readRequest.bodyOfItem().isPresent()) {
            readParts(pending, JobRecords.prefix(readRequest.job()), new TreeMap<>(), out);
            return;
        }
        store.call(
                new StoreRequest.ReadNewest(
                        JobRecords.results(pending.partition()),
                        JobRecords.keyBefore(readRequest.job(), readRequest.fromPosition())),
                (response, atMs, effects) -> {
                    if (response instanceof StoreResponse.Newest page) {
                        readItemCount(pending, results(readRequest, page), atMs, effects);
                    } else {
                        storeFailed(pending, response, atMs, effects);
                    }
                },
                out);
    }

    private static List<ListedResult> results(JobMessage.ReadRequest readRequest, StoreResponse.Newest page) {
        List<ListedResult> results = new ArrayList<>();
        int bytes = 0;
        for (StoreResponse.StoredRecord record : page.records()) {
            boolean next = record.key()
                    .equals(JobRecords.resultKey(readRequest.job(), readRequest.fromPosition() + results.size()));
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

    private void readItemCount(PendingRead pending, List<ListedResult> results, long atMs, Effects out) {
        JobMessage.ReadRequest readRequest = pending.readRequest();
        Integer cached = itemCounts.get(readRequest.job());
        if (cached != null) {
            finish(pending, new JobPage(cached, readRequest.fromPosition(), results), atMs, out);
            return;
        }
        String prefix = JobRecords.prefix(readRequest.job());
        store.call(
                new StoreRequest.ReadNewest(JobRecords.jobs(pending.partition()), prefix),
                (response, nowMs, effects) -> {
                    if (!(response instanceof StoreResponse.Newest page)) {
                        storeFailed(pending, response, nowMs, effects);
                        return;
                    }
                    Optional<WireJobPart> part = page.records().stream()
                            .filter(record -> record.key().startsWith(prefix))
                            .filter(record -> !record.key().equals(JobRecords.endKey(readRequest.job())))
                            .findFirst()
                            .flatMap(record -> JobRecords.part(record.value()));
                    part.ifPresent(found -> itemCounts.put(readRequest.job(), found.getItems()));
                    CallerReply reply = part.<CallerReply>map(
                                    found -> new JobPage(found.getItems(), readRequest.fromPosition(), results))
                            .orElseGet(() ->
                                    Refusal.notRun(RefusalCode.NOT_FOUND, "there is no job " + readRequest.job()));
                    finish(pending, reply, nowMs, effects);
                },
                out);
    }

    private void readParts(PendingRead pending, String afterKey, Map<Integer, WireJobPart> parts, Effects out) {
        JobMessage.ReadRequest readRequest = pending.readRequest();
        String prefix = JobRecords.prefix(readRequest.job());
        store.call(
                new StoreRequest.ReadNewest(JobRecords.jobs(pending.partition()), afterKey),
                (response, nowMs, effects) -> {
                    if (!(response instanceof StoreResponse.Newest page)) {
                        storeFailed(pending, response, nowMs, effects);
                        return;
                    }
                    String last = afterKey;
                    boolean moreParts = page.more();
                    boolean ended = false;
                    for (StoreResponse.StoredRecord record : page.records()) {
                        last = record.key();
                        if (!record.key().startsWith(prefix)) {
                            moreParts = false;
                            break;
                        }
                        ended |= record.key().equals(JobRecords.endKey(readRequest.job()));
                        JobRecords.part(record.value()).ifPresent(part -> parts.put(part.getIndex(), part));
                    }
                    if (moreParts && !page.records().isEmpty()) {
                        readParts(pending, last, parts, effects);
                    } else {
                        finish(pending, body(ended ? Optional.empty() : bodyOf(readRequest, parts)), nowMs, effects);
                    }
                },
                out);
    }

    private static Optional<ByteString> bodyOf(JobMessage.ReadRequest readRequest, Map<Integer, WireJobPart> parts) {
        return StoredRecords.join(List.copyOf(parts.values())).flatMap(job -> job.items().stream()
                .filter(item -> item.id().equals(readRequest.bodyOfItem().orElseThrow()))
                .map(JobItem::body)
                .findFirst());
    }

    private void storeFailed(PendingRead pending, StoreResponse response, long nowMs, Effects out) {
        storeReads--;
        explainEnd(pending, nowMs, response.toString(), out);
        refuse(pending, "the job could be read neither from its owner nor from the store: " + response, out);
    }

    private void finish(PendingRead pending, CallerReply reply, long nowMs, Effects out) {
        storeReads--;
        String outcome = reply instanceof JobPage page
                ? page.results().size() + " results of " + page.totalItems() + " items"
                : reply instanceof Refusal refusal ? refusal.message() : "an item's body";
        explainEnd(pending, nowMs, outcome, out);
        reply(pending, reply, out);
    }

    private void explainEnd(PendingRead pending, long nowMs, String outcome, Effects out) {
        String caller = open.contains(pending.request()) ? "" : ", the caller has left";
        String reason = outcome + ", after " + (nowMs - pending.startedAtMs()) + " ms" + caller;
        explain(pending, nowMs, "read from the store ended", reason, out);
    }

    private void explain(PendingRead pending, long nowMs, String decision, String reason, Effects out) {
        String partition = "partition " + pending.partition() + ", from position "
                + pending.readRequest().fromPosition() + ": ";
        out.explain(Subject.Kind.JOB, pending.readRequest().job(), nowMs, decision, partition + reason);
    }

    /** Writes the counts of reads that did not get their reply from an owner. */
    void dump(StateWriter writer) {
        writer.field("storeReads", storeReads);
        writer.field("readsWithoutOwner", readsWithoutOwner);
        writer.field("lateReplies", lateReplies);
    }

    /** Forgets the reply of a read whose caller has disconnected. */
    void callerDisconnected(RequestId request) {
        open.remove(request);
    }

    private void refuse(PendingRead pending, String message, Effects out) {
        reply(pending, Refusal.notRun(RefusalCode.STORE_UNAVAILABLE, message, RETRY_AFTER_MS), out);
    }

    /** Refuses all open reads; later replies of owners and of the store are ignored. */
    void refuseAll(Refusal refusal, Effects out) {
        open.forEach(request -> out.reply(request, refusal));
        open.clear();
        awaitingOwner.clear();
    }

    /** Tracks the likely owners of partitions and sends reads to them. */
    interface OwnerClient {

        Optional<HostId> likelyOwner(int partition);

        void sendRead(HostId owner, JobMessage.ReadRequest readRequest, long nowMs, Effects out);

        /** Records that the host did not reply, or replied that it is not the owner. */
        void failed(int partition, HostId owner);
    }

    private record PendingRead(
            RequestId request,
            JobMessage.ReadRequest readRequest,
            int partition,
            Optional<HostId> owner,
            long startedAtMs,
            long deadlineAtMs) {}
}

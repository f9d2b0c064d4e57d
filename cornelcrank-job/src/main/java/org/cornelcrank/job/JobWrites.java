package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.CorrelationId;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.store.StoreCalls;

/**
 * Writes jobs and the ends of jobs to the store for callers.
 *
 * <p>Any daemon may write: directly, or through a peer while the store does not respond to this daemon. Each attempt
 * appends the same records, so writes are idempotent. Invariants: a caller receives a success only after the store has
 * all records, and a reply that nothing was written only if the store refused every attempt. Not thread-safe: confined
 * to the daemon's event loop.
 */
final class JobWrites {

    /** How long one append may take before it is retried, in ms: many times the store's usual response time. */
    private static final long APPEND_TIMEOUT_MS = 900;

    /**
     * How long a peer may take to write, in ms: a round trip between regions and many times the usual response time.
     */
    private static final long RELAY_TIMEOUT_MS = 400;

    /**
     * How many peers a write is sent to. If a third of them cannot reach the store, one write in thirty tries only such
     * peers; a higher limit would flood the daemons when the store responds to none of them.
     */
    private static final int MAX_RELAYS = 3;

    /** The pause before a write is retried, in ms. */
    private static final long RETRY_PAUSE_MS = 120;

    /** The part of the caller's deadline that is reserved for the transfer of the reply, in ms. */
    private static final long REPLY_MARGIN_MS = 300;

    /**
     * How long a write is retried while the store refuses it, in ms; after that the caller should try another daemon.
     */
    private static final long REFUSED_TIMEOUT_MS = 1_200;

    /** The delay after which a caller may retry when the store has refused, in ms. */
    private static final long RETRY_AFTER_MS = 500;

    private static final ByteString ENDED = ByteString.copyFromUtf8("ended");

    private final JobSettings settings;
    private final StoreCalls store;
    private final TimerKey timer;
    private final PartitionOwners owners;
    private final CorrelationId.Sequence ids;
    private final Map<RequestId, PendingWrite> pending = new HashMap<>();

    JobWrites(
            JobSettings settings,
            StoreCalls store,
            TimerKey timer,
            PartitionOwners owners,
            CorrelationId.Sequence ids) {
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.store = Objects.requireNonNull(store, "store must not be null");
        this.timer = Objects.requireNonNull(timer, "timer must not be null");
        this.owners = Objects.requireNonNull(owners, "owners must not be null");
        this.ids = Objects.requireNonNull(ids, "ids must not be null");
    }

    void submit(RequestId request, SubmitJob submit, long nowMs, Effects out) {
        List<KeyedRecord> records = JobRecords.encode(submit.job(), submit.content(), settings.maxRecordBytes());
        begin(request, submit.job(), records, new JobAccepted(submit.job()), submit.deadlineAtMs(), nowMs, out);
    }

    void end(RequestId request, EndJob end, long nowMs, Effects out) {
        KeyedRecord record = new KeyedRecord(JobRecords.endKey(end.job()), ENDED);
        begin(request, end.job(), List.of(record), new JobEnded(end.job()), end.deadlineAtMs(), nowMs, out);
    }

    private void begin(
            RequestId request,
            JobId job,
            List<KeyedRecord> records,
            CallerReply success,
            long deadlineAtMs,
            long nowMs,
            Effects out) {
        PendingWrite write = new PendingWrite(
                request,
                job,
                JobRecords.partitionOf(job, settings.partitions()),
                JobRecords.batches(records, settings.maxRequestBytes()),
                success,
                nowMs,
                deadlineAtMs - REPLY_MARGIN_MS);
        pending.put(request, write);
        writeNextBatch(write, nowMs, out);
    }

    /** Writes the next batch: through a peer if the store has just failed for this daemon, otherwise directly. */
    private void writeNextBatch(PendingWrite write, long nowMs, Effects out) {
        write.wakeAtMs = Long.MAX_VALUE;
        Optional<HostId> peer = write.directAppendFailed || !store.available() ? selectRelay(write) : Optional.empty();
        if (peer.isPresent()) {
            appendThrough(peer.get(), write, nowMs, out);
        } else {
            append(write, out);
        }
    }

    /** Returns the next peer to write through, empty once {@link #MAX_RELAYS} peers have failed. */
    private Optional<HostId> selectRelay(PendingWrite write) {
        return write.failedPeers.size() < MAX_RELAYS
                ? owners.peerReachingStore(write.partition, write.failedPeers)
                : Optional.empty();
    }

    private void append(PendingWrite write, Effects out) {
        append(
                write.job,
                write.records(),
                (response, nowMs, effects) -> {
                    write.directAppendFailed = !(response instanceof StoreResponse.Appended);
                    batchAttempted(write, WriteOutcome.of(response), "the store: " + response, nowMs, effects);
                },
                out);
    }

    private void append(JobId job, List<KeyedRecord> records, StoreCalls.Listener listener, Effects out) {
        int partition = JobRecords.partitionOf(job, settings.partitions());
        store.call(
                new StoreRequest.Append(JobRecords.jobs(partition), records, Optional.empty(), APPEND_TIMEOUT_MS),
                listener,
                out);
    }

    private void appendThrough(HostId peer, PendingWrite write, long nowMs, Effects out) {
        write.relayPeer = Optional.of(peer);
        write.relayId = Optional.of(ids.next());
        out.explain(
                Subject.Kind.JOB,
                write.job,
                nowMs,
                "written through " + peer,
                "the store does not respond to this daemon; peers already tried: " + write.failedPeers);
        out.send(peer, new JobMessage.WriteRequest(write.relayId.get(), write.job, write.records()));
        wakeAt(write, nowMs + RELAY_TIMEOUT_MS, out);
    }

    /** Handles a peer's reply to a write that was sent to it. */
    void relayReplied(JobMessage.WriteReply reply, long nowMs, Effects out) {
        pending.values().stream()
                .filter(write -> write.relayPeer.isPresent() && write.relayId.equals(Optional.of(reply.id())))
                .findFirst()
                .ifPresent(write -> peerReplied(write, reply.outcome(), nowMs, out));
    }

    private void peerReplied(PendingWrite write, WriteOutcome outcome, long nowMs, Effects out) {
        HostId peer = write.relayPeer.orElseThrow();
        write.relayPeer = Optional.empty();
        if (outcome != WriteOutcome.DONE) {
            write.failedPeers.add(peer);
        }
        batchAttempted(write, outcome, peer + ": " + outcome, nowMs, out);
    }

    private void batchAttempted(PendingWrite write, WriteOutcome outcome, String detail, long nowMs, Effects out) {
        if (!pending.containsKey(write.request)) {
            return;
        }
        if (outcome == WriteOutcome.DONE) {
            write.nextBatch++;
            if (write.nextBatch == write.batches.size()) {
                finish(write, write.success, out);
            } else {
                writeNextBatch(write, nowMs, out);
            }
            return;
        }
        write.mayBeWritten |= outcome == WriteOutcome.UNKNOWN;
        long giveUpAtMs = write.mayBeWritten
                ? write.deadlineAtMs
                : Math.min(write.deadlineAtMs, write.startedAtMs + REFUSED_TIMEOUT_MS);
        if (nowMs + RETRY_PAUSE_MS >= giveUpAtMs) {
            finish(write, refusal(write, detail), out);
        } else if (selectRelay(write).isPresent()) {
            writeNextBatch(write, nowMs, out);
        } else {
            wakeAt(write, nowMs + RETRY_PAUSE_MS, out);
        }
    }

    private void wakeAt(PendingWrite write, long atMs, Effects out) {
        write.wakeAtMs = atMs;
        out.schedule(timer, earliestMs());
    }

    private long earliestMs() {
        return pending.values().stream()
                .mapToLong(write -> write.wakeAtMs)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    private static Refusal refusal(PendingWrite write, String detail) {
        String message = "the store did not accept the write, " + detail;
        return write.mayBeWritten
                ? new Refusal(Verdict.MAY_HAVE_RUN, RefusalCode.STORE_UNAVAILABLE, message, 0)
                : Refusal.notRun(RefusalCode.STORE_UNAVAILABLE, message, RETRY_AFTER_MS);
    }

    private void finish(PendingWrite write, CallerReply reply, Effects out) {
        pending.remove(write.request);
        out.reply(write.request, reply);
    }

    /** Stops retrying for a disconnected caller; records that were already sent may still be written. */
    void callerDisconnected(RequestId request) {
        pending.remove(request);
    }

    /** Ends all writes for callers; one of which nothing may have been written is refused as given. */
    void endAll(Refusal notRun, Effects out) {
        for (PendingWrite write : List.copyOf(pending.values())) {
            Refusal mayBeWritten =
                    new Refusal(Verdict.MAY_HAVE_RUN, RefusalCode.STORE_UNAVAILABLE, notRun.message(), 0);
            finish(write, write.mayBeWritten() ? mayBeWritten : notRun, out);
        }
    }

    /** Continues the writes whose pause or relay timeout is over; called when the timer is due. */
    void timerDue(long nowMs, Effects out) {
        for (PendingWrite write : List.copyOf(pending.values())) {
            if (write.wakeAtMs <= nowMs) {
                if (write.relayPeer.isPresent()) {
                    peerReplied(write, WriteOutcome.UNKNOWN, nowMs, out);
                } else {
                    writeNextBatch(write, nowMs, out);
                }
            }
        }
        if (earliestMs() < Long.MAX_VALUE) {
            out.schedule(timer, earliestMs());
        }
    }

    /** Writes records for a peer that cannot reach the store. */
    void relay(HostId from, JobMessage.WriteRequest write, Effects out) {
        String prefix = JobRecords.prefix(write.job());
        boolean ofJob = write.records().stream().allMatch(record -> record.key().startsWith(prefix));
        if (!ofJob || !store.available()) {
            out.send(from, new JobMessage.WriteReply(write.id(), WriteOutcome.NOT_DONE));
            return;
        }
        append(
                write.job(),
                write.records(),
                (response, nowMs, effects) -> {
                    effects.explain(Subject.Kind.JOB, write.job(), nowMs, "written for " + from, response.toString());
                    effects.send(from, new JobMessage.WriteReply(write.id(), WriteOutcome.of(response)));
                },
                out);
    }

    /**
     * Drops the records of a job, of whose parts the keys are given; the listener is notified once the store has
     * acknowledged it, and not if it fails.
     */
    void drop(JobId job, Collection<String> partKeys, DropListener listener, Effects out) {
        List<KeyedRecord> records = new ArrayList<>();
        partKeys.forEach(key -> records.add(KeyedRecord.tombstone(key)));
        records.add(KeyedRecord.tombstone(JobRecords.headKey(job)));
        records.add(KeyedRecord.tombstone(JobRecords.endKey(job)));
        append(
                job,
                records,
                (response, nowMs, effects) -> {
                    if (response instanceof StoreResponse.Appended) {
                        listener.dropped(nowMs, effects);
                    } else {
                        effects.explain(Subject.Kind.JOB, job, nowMs, "records not dropped", response.toString());
                    }
                },
                out);
    }

    boolean idle() {
        return pending.isEmpty();
    }

    /** Is notified that the store has dropped the records of a job. */
    interface DropListener {
        void dropped(long nowMs, Effects out);
    }

    /** A write in progress. */
    private static final class PendingWrite {

        private final RequestId request;
        private final JobId job;
        private final int partition;
        private final List<List<KeyedRecord>> batches;
        private final CallerReply success;
        private final long startedAtMs;
        private final long deadlineAtMs;
        private final Set<HostId> failedPeers = new HashSet<>();
        private Optional<HostId> relayPeer = Optional.empty();
        private Optional<CorrelationId> relayId = Optional.empty();
        private long wakeAtMs = Long.MAX_VALUE;
        private int nextBatch;
        private boolean mayBeWritten;
        private boolean directAppendFailed;

        PendingWrite(
                RequestId request,
                JobId job,
                int partition,
                List<List<KeyedRecord>> batches,
                CallerReply success,
                long startedAtMs,
                long deadlineAtMs) {
            this.request = request;
            this.job = job;
            this.partition = partition;
            this.batches = batches;
            this.success = success;
            this.startedAtMs = startedAtMs;
            this.deadlineAtMs = deadlineAtMs;
        }

        List<KeyedRecord> records() {
            return batches.get(nextBatch);
        }

        boolean mayBeWritten() {
            boolean inFlight = relayPeer.isPresent() || wakeAtMs == Long.MAX_VALUE;
            return mayBeWritten || inFlight || nextBatch > 0;
        }
    }
}

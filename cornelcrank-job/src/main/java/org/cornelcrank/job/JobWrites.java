package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerReply;
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
 * Writes jobs and their ends to the store for callers, which any daemon may do: itself, or through another daemon while the
 * store does not answer this one.
 *
 * <p>A write repeats the same records, so that doing it twice changes nothing. Invariants: a caller hears of success only
 * after the store has everything; it hears that nothing was done only if each try was refused by the store. Not
 * thread-safe: confined to the daemon's event loop.
 */
final class JobWrites {

    /** How long one append may take before it is tried again, in ms: many times the store's usual answer. */
    private static final long APPEND_TIMEOUT_MS = 900;

    /** How long another daemon may take to write, in ms: a way between regions and back, and many usual answers. */
    private static final long RELAY_TIMEOUT_MS = 400;

    /**
     * How many other daemons a write is sent to: with a third of them cut off, one in thirty meets only such; more would
     * flood the daemons while the store answers none.
     */
    private static final int MAX_RELAYS = 3;

    /** The pause before a write is tried again, in ms. */
    private static final long PAUSE_MS = 120;

    /** The time that is kept for the answer on its way to the caller, in ms. */
    private static final long ANSWER_MARGIN_MS = 300;

    /** How long a write is tried while the store refuses, in ms: a caller does better at another daemon then. */
    private static final long REFUSED_PATIENCE_MS = 1_200;

    /** When a caller may come back after the store has refused, in ms. */
    private static final long RETRY_AFTER_MS = 500;

    private static final ByteString ENDED = ByteString.copyFromUtf8("ended");

    private final JobSettings settings;
    private final StoreCalls store;
    private final TimerKey timer;
    private final PartitionOwners owners;
    private final Map<RequestId, Writing> open = new HashMap<>();
    private long lastNumber;

    JobWrites(JobSettings settings, StoreCalls store, TimerKey timer, PartitionOwners owners) {
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.store = Objects.requireNonNull(store, "store must not be null");
        this.timer = Objects.requireNonNull(timer, "timer must not be null");
        this.owners = Objects.requireNonNull(owners, "owners must not be null");
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
        Writing writing = new Writing(
                request,
                job,
                JobRecords.partitionOf(job, settings.partitions()),
                JobRecords.batches(records, settings.maxRequestBytes()),
                success,
                nowMs,
                deadlineAtMs - ANSWER_MARGIN_MS);
        open.put(request, writing);
        next(writing, nowMs, out);
    }

    /** Takes the next step: through another daemon where the store has just failed this one, else directly. */
    private void next(Writing writing, long nowMs, Effects out) {
        writing.wakeAtMs = Long.MAX_VALUE;
        Optional<HostId> peer = writing.directlyFailed || !store.available() ? relay(writing) : Optional.empty();
        if (peer.isPresent()) {
            appendThrough(peer.get(), writing, nowMs, out);
        } else {
            append(writing, out);
        }
    }

    /** Returns the next daemon to write through, empty once enough have failed. */
    private Optional<HostId> relay(Writing writing) {
        return writing.failedPeers.size() < MAX_RELAYS
                ? owners.reachingStore(writing.partition, writing.failedPeers)
                : Optional.empty();
    }

    private void append(Writing writing, Effects out) {
        append(
                writing.job,
                writing.records(),
                (answer, nowMs, effects) -> {
                    writing.directlyFailed = !(answer instanceof StoreResponse.Appended);
                    written(writing, WriteOutcome.of(answer), "the store: " + answer, nowMs, effects);
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

    private void appendThrough(HostId peer, Writing writing, long nowMs, Effects out) {
        writing.asked = Optional.of(peer);
        writing.askedNumber = ++lastNumber;
        out.explain(
                Subject.Kind.JOB,
                writing.job,
                nowMs,
                "written through " + peer,
                "the store does not answer here; tried before: " + writing.failedPeers);
        out.send(peer, new JobMessage.WriteRequest(writing.askedNumber, writing.job, writing.records()));
        wakeAt(writing, nowMs + RELAY_TIMEOUT_MS, out);
    }

    /** Takes another daemon's word on what has become of a write. */
    void relayed(JobMessage.WriteReply written, long nowMs, Effects out) {
        open.values().stream()
                .filter(writing -> writing.asked.isPresent() && writing.askedNumber == written.number())
                .findFirst()
                .ifPresent(writing -> peerAnswered(writing, written.outcome(), nowMs, out));
    }

    private void peerAnswered(Writing writing, WriteOutcome outcome, long nowMs, Effects out) {
        HostId peer = writing.asked.orElseThrow();
        writing.asked = Optional.empty();
        if (outcome != WriteOutcome.DONE) {
            writing.failedPeers.add(peer);
        }
        written(writing, outcome, peer + ": " + outcome, nowMs, out);
    }

    private void written(Writing writing, WriteOutcome outcome, String detail, long nowMs, Effects out) {
        if (!open.containsKey(writing.request)) {
            return;
        }
        if (outcome == WriteOutcome.DONE) {
            writing.next++;
            if (writing.next == writing.batches.size()) {
                finish(writing, writing.success, out);
            } else {
                next(writing, nowMs, out);
            }
            return;
        }
        writing.mayBeDone |= outcome == WriteOutcome.UNKNOWN;
        long patienceEndsMs = writing.mayBeDone
                ? writing.untilMs
                : Math.min(writing.untilMs, writing.startedAtMs + REFUSED_PATIENCE_MS);
        if (nowMs + PAUSE_MS >= patienceEndsMs) {
            finish(writing, refusal(writing, detail), out);
        } else if (relay(writing).isPresent()) {
            next(writing, nowMs, out);
        } else {
            wakeAt(writing, nowMs + PAUSE_MS, out);
        }
    }

    private void wakeAt(Writing writing, long atMs, Effects out) {
        writing.wakeAtMs = atMs;
        out.schedule(timer, earliestMs());
    }

    private long earliestMs() {
        return open.values().stream()
                .mapToLong(writing -> writing.wakeAtMs)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    private static Refusal refusal(Writing writing, String detail) {
        String message = "the store did not take it, " + detail;
        return writing.mayBeDone
                ? new Refusal(Verdict.MAY_HAVE_RUN, RefusalCode.STORE_UNAVAILABLE, message, 0)
                : Refusal.notRun(RefusalCode.STORE_UNAVAILABLE, message, RETRY_AFTER_MS);
    }

    private void finish(Writing writing, CallerReply reply, Effects out) {
        open.remove(writing.request);
        out.reply(writing.request, reply);
    }

    /** Tries no further for a caller who has left; what was sent may still be written. */
    void callerDisconnected(RequestId request) {
        open.remove(request);
    }

    /** Goes on with what has waited enough; called when the timer is due. */
    void timerDue(long nowMs, Effects out) {
        for (Writing writing : List.copyOf(open.values())) {
            if (writing.wakeAtMs <= nowMs) {
                if (writing.asked.isPresent()) {
                    peerAnswered(writing, WriteOutcome.UNKNOWN, nowMs, out);
                } else {
                    next(writing, nowMs, out);
                }
            }
        }
        if (earliestMs() < Long.MAX_VALUE) {
            out.schedule(timer, earliestMs());
        }
    }

    /** Writes for a daemon that does not reach the store. */
    void relay(HostId from, JobMessage.WriteRequest write, Effects out) {
        String prefix = JobRecords.prefix(write.job());
        boolean ofJob = write.records().stream().allMatch(record -> record.key().startsWith(prefix));
        if (!ofJob || !store.available()) {
            out.send(from, new JobMessage.WriteReply(write.number(), WriteOutcome.NOT_DONE));
            return;
        }
        append(
                write.job(),
                write.records(),
                (answer, nowMs, effects) -> {
                    effects.explain(Subject.Kind.JOB, write.job(), nowMs, "written for " + from, answer.toString());
                    effects.send(from, new JobMessage.WriteReply(write.number(), WriteOutcome.of(answer)));
                },
                out);
    }

    /** Drops the records of a job; a failure leaves them for the next owner to drop. */
    void drop(JobId job, int parts, Effects out) {
        List<KeyedRecord> records = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            records.add(KeyedRecord.dropping(JobRecords.partKey(job, part)));
        }
        records.add(KeyedRecord.dropping(JobRecords.endKey(job)));
        append(
                job,
                records,
                (answer, nowMs, effects) -> {
                    if (!(answer instanceof StoreResponse.Appended)) {
                        effects.explain(Subject.Kind.JOB, job, nowMs, "records not dropped", answer.toString());
                    }
                },
                out);
    }

    boolean idle() {
        return open.isEmpty();
    }

    /** One write under way. */
    private static final class Writing {

        private final RequestId request;
        private final JobId job;
        private final int partition;
        private final List<List<KeyedRecord>> batches;
        private final CallerReply success;
        private final long startedAtMs;
        private final long untilMs;
        private final Set<HostId> failedPeers = new HashSet<>();
        private Optional<HostId> asked = Optional.empty();
        private long askedNumber;
        private long wakeAtMs = Long.MAX_VALUE;
        private int next;
        private boolean mayBeDone;
        private boolean directlyFailed;

        Writing(
                RequestId request,
                JobId job,
                int partition,
                List<List<KeyedRecord>> batches,
                CallerReply success,
                long startedAtMs,
                long untilMs) {
            this.request = request;
            this.job = job;
            this.partition = partition;
            this.batches = batches;
            this.success = success;
            this.startedAtMs = startedAtMs;
            this.untilMs = untilMs;
        }

        List<KeyedRecord> records() {
            return batches.get(next);
        }
    }
}

package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.StoreAnswer;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.store.StoreCalls;

/**
 * Writes jobs and their ends to the store for callers, which any daemon may do.
 *
 * <p>A write repeats the same records, so that doing it twice changes nothing. Invariants: a caller hears of success only
 * after the store has everything; it hears that nothing was done only if each try was refused by the store. Not
 * thread-safe: confined to the daemon's event loop.
 */
final class JobWrites {

    /** How long one append may take before it is tried again, in ms: many times the store's usual answer. */
    private static final long APPEND_TIMEOUT_MS = 900;

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
    private final Map<RequestId, Writing> open = new HashMap<>();

    JobWrites(JobSettings settings, StoreCalls store, TimerKey timer) {
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.store = Objects.requireNonNull(store, "store must not be null");
        this.timer = Objects.requireNonNull(timer, "timer must not be null");
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
        Writing writing = new Writing(request, job, batches(records), success, nowMs, deadlineAtMs - ANSWER_MARGIN_MS);
        open.put(request, writing);
        append(writing, out);
    }

    private List<List<KeyedRecord>> batches(List<KeyedRecord> records) {
        List<List<KeyedRecord>> batches = new ArrayList<>();
        int bytes = 0;
        for (KeyedRecord record : records) {
            int size = record.value().size() + KeyedRecord.MAX_KEY_BYTES;
            if (batches.isEmpty() || bytes + size > settings.maxRequestBytes()) {
                batches.add(new ArrayList<>());
                bytes = 0;
            }
            batches.get(batches.size() - 1).add(record);
            bytes += size;
        }
        return batches;
    }

    private void append(Writing writing, Effects out) {
        int partition = JobRecords.partitionOf(writing.job, settings.partitions());
        store.call(
                new StoreRequest.Append(
                        JobRecords.jobs(partition),
                        writing.batches.get(writing.next),
                        Optional.empty(),
                        APPEND_TIMEOUT_MS),
                (answer, nowMs, effects) -> answered(writing, answer, nowMs, effects),
                out);
    }

    private void answered(Writing writing, StoreAnswer answer, long nowMs, Effects out) {
        if (!open.containsKey(writing.request)) {
            return;
        }
        if (answer instanceof StoreAnswer.Appended) {
            writing.next++;
            if (writing.next == writing.batches.size()) {
                finish(writing, writing.success, out);
            } else {
                append(writing, out);
            }
            return;
        }
        writing.mayBeDone |= !(answer instanceof StoreAnswer.NotDone);
        long patienceEndsMs = writing.mayBeDone
                ? writing.untilMs
                : Math.min(writing.untilMs, writing.startedAtMs + REFUSED_PATIENCE_MS);
        if (nowMs + PAUSE_MS >= patienceEndsMs) {
            finish(writing, refusal(writing, answer), out);
            return;
        }
        writing.waiting = true;
        out.schedule(timer, nowMs + PAUSE_MS);
    }

    private static Refusal refusal(Writing writing, StoreAnswer answer) {
        String message = "the store did not take it: " + answer;
        return writing.mayBeDone
                ? new Refusal(Verdict.MAY_HAVE_RUN, RefusalCode.STORE_UNAVAILABLE, message, 0)
                : Refusal.notRun(RefusalCode.STORE_UNAVAILABLE, message, RETRY_AFTER_MS);
    }

    private void finish(Writing writing, CallerReply reply, Effects out) {
        open.remove(writing.request);
        out.reply(writing.request, reply);
    }

    /** Tries again what waits; called when the timer is due. */
    void timerDue(Effects out) {
        for (Writing writing : List.copyOf(open.values())) {
            if (writing.waiting) {
                writing.waiting = false;
                append(writing, out);
            }
        }
    }

    /** Drops the records of a job without telling anybody; a failure leaves them for the next owner to drop. */
    void drop(JobId job, int parts, Effects out) {
        int partition = JobRecords.partitionOf(job, settings.partitions());
        List<KeyedRecord> records = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            records.add(KeyedRecord.dropping(JobRecords.partKey(job, part)));
        }
        records.add(KeyedRecord.dropping(JobRecords.endKey(job)));
        store.call(
                new StoreRequest.Append(JobRecords.jobs(partition), records, Optional.empty(), APPEND_TIMEOUT_MS),
                (answer, nowMs, effects) -> {},
                out);
    }

    boolean idle() {
        return open.isEmpty();
    }

    /** One write under way. */
    private static final class Writing {

        private final RequestId request;
        private final JobId job;
        private final List<List<KeyedRecord>> batches;
        private final CallerReply success;
        private final long startedAtMs;
        private final long untilMs;
        private int next;
        private boolean mayBeDone;
        private boolean waiting;

        Writing(
                RequestId request,
                JobId job,
                List<List<KeyedRecord>> batches,
                CallerReply success,
                long startedAtMs,
                long untilMs) {
            this.request = request;
            this.job = job;
            this.batches = batches;
            this.success = success;
            this.startedAtMs = startedAtMs;
            this.untilMs = untilMs;
        }
    }
}

package org.cornelcrank.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.core.Verdict;

/**
 * Appends this daemon's changes to the log one after another, each until it is read back or its time is over.
 *
 * <p>Invariants: one record is on its way at a time, so that sequences arrive in order; a change whose append may have
 * taken effect is never reported as not run; a record is appended again only under the same sequence, by which it counts
 * once. Not thread-safe: confined to the daemon's event loop.
 */
final class ChangeQueue {

    static final TimerKey TIMER = new TimerKey(ConfigStateMachine.NAME, "change");

    private final String writer;
    private final ConfigSettings settings;
    private final Deque<Pending> queue = new ArrayDeque<>();
    private long nextSequence = 1;
    private long appendNumber;
    private boolean appendOpen;
    private long retryAtMs = Long.MAX_VALUE;

    ChangeQueue(String writer, ConfigSettings settings) {
        this.writer = writer;
        this.settings = settings;
    }

    boolean isFull() {
        return queue.size() >= settings.maxPendingChanges();
    }

    int size() {
        return queue.size();
    }

    /** Queues a change that an operator asked for. */
    void submit(RequestId request, ConfigurationRecord.SettingChanged change, long nowMs, Effects out) {
        enqueue(Optional.of(request), change, nowMs, out);
    }

    /** Queues a part of a snapshot, which nobody waits for. */
    void submit(ConfigurationRecord.SnapshotPart part, long nowMs, Effects out) {
        enqueue(Optional.empty(), part, nowMs, out);
    }

    /** The append was answered: the record stands in the log, and what came of it is known when it is read back. */
    void appended(long number, long nowMs, Effects out) {
        if (isOpen(number)) {
            appendOpen = false;
            Pending head = queue.peekFirst();
            head.mayHaveTakenEffect = true;
            if (head.request.isEmpty()) {
                removeHead(nowMs, out);
            }
        }
    }

    /** The append failed: a lost answer is settled by reading, and the record appended again in the meantime. */
    void appendFailed(Event.AppendFailed failure, long nowMs, Effects out) {
        if (!isOpen(failure.appendNumber())) {
            return;
        }
        appendOpen = false;
        Pending head = queue.peekFirst();
        head.mayHaveTakenEffect |= failure.mayHaveTakenEffect();
        long retryMs = Math.max(failure.retryAfterMs(), settings.appendRetryMs());
        boolean canRetry = failure.retryAfterMs() > 0 || head.mayHaveTakenEffect;
        if (canRetry && nowMs + retryMs < head.deadlineMs) {
            retryAtMs = nowMs + retryMs;
            scheduleNext(out);
            return;
        }
        if (!head.mayHaveTakenEffect) {
            refuse(head, "the log refused the change", out);
            removeHead(nowMs, out);
        }
    }

    /** A record of this writer was read back for the first time; returns the request that waits for it. */
    Optional<RequestId> readBack(long sequence, long nowMs, Effects out) {
        Pending head = queue.peekFirst();
        if (head == null || head.sequence != sequence) {
            return Optional.empty();
        }
        removeHead(nowMs, out);
        return head.request;
    }

    /** Appends again what is due, and gives up what has waited too long. */
    void review(long nowMs, Effects out) {
        List<Pending> overdue = new ArrayList<>();
        for (Pending pending : queue) {
            if (pending.deadlineMs <= nowMs) {
                overdue.add(pending);
            }
        }
        for (Pending pending : overdue) {
            boolean isHead = pending == queue.peekFirst();
            pending.mayHaveTakenEffect |= isHead && appendOpen;
            refuse(pending, "the log did not answer in time", out);
            if (isHead) {
                removeHead(nowMs, out);
            } else {
                queue.remove(pending);
            }
        }
        if (!queue.isEmpty() && !appendOpen && retryAtMs <= nowMs) {
            appendHead(out);
        }
        scheduleNext(out);
    }

    /** Nobody waits for the answer any more; the change itself goes on. */
    void callerDisconnected(RequestId request) {
        for (Pending pending : queue) {
            if (pending.request.filter(request::equals).isPresent()) {
                pending.answered = true;
            }
        }
    }

    private void enqueue(Optional<RequestId> request, ConfigurationRecord.Content content, long nowMs, Effects out) {
        long sequence = nextSequence++;
        ByteString payload = ConfigurationRecordCodec.encode(new ConfigurationRecord(writer, sequence, content));
        queue.addLast(new Pending(request, sequence, payload, nowMs + settings.changeTimeoutMs()));
        if (queue.size() == 1) {
            appendHead(out);
        }
        scheduleNext(out);
    }

    private void appendHead(Effects out) {
        retryAtMs = Long.MAX_VALUE;
        appendOpen = true;
        appendNumber++;
        out.add(new Effect.Append(ConfigurationLog.STREAM, appendNumber, queue.peekFirst().payload));
    }

    private void removeHead(long nowMs, Effects out) {
        queue.removeFirst();
        appendOpen = false;
        retryAtMs = Long.MAX_VALUE;
        if (!queue.isEmpty() && queue.peekFirst().deadlineMs > nowMs) {
            appendHead(out);
        }
        scheduleNext(out);
    }

    private void refuse(Pending pending, String reason, Effects out) {
        if (pending.request.isEmpty() || pending.answered) {
            return;
        }
        Verdict verdict = pending.mayHaveTakenEffect ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        String message = reason + (pending.mayHaveTakenEffect ? "; it may still take effect" : "");
        out.reply(
                pending.request.get(),
                new Refusal(verdict, RefusalCode.STORE_UNAVAILABLE, message, settings.appendRetryMs()));
    }

    private boolean isOpen(long number) {
        return appendOpen && number == appendNumber;
    }

    private void scheduleNext(Effects out) {
        long dueAtMs = retryAtMs;
        for (Pending pending : queue) {
            dueAtMs = Math.min(dueAtMs, pending.deadlineMs);
        }
        if (dueAtMs != Long.MAX_VALUE) {
            out.schedule(TIMER, dueAtMs);
        }
    }

    private static final class Pending {
        private final Optional<RequestId> request;
        private final long sequence;
        private final ByteString payload;
        private final long deadlineMs;
        private boolean mayHaveTakenEffect;
        private boolean answered;

        Pending(Optional<RequestId> request, long sequence, ByteString payload, long deadlineMs) {
            this.request = request;
            this.sequence = sequence;
            this.payload = payload;
            this.deadlineMs = deadlineMs;
        }
    }
}

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
 * Appends this daemon's changes to the log one at a time, retrying each until it is read back or times out.
 *
 * <p>Invariants: only one record is in flight, so that sequence numbers arrive in order; a change whose append may have
 * taken effect is never reported as not run; a retried append has the same sequence number, so that it is applied only
 * once. Not thread-safe: confined to the daemon's event loop.
 */
final class ChangeQueue {

    static final TimerKey TIMER = new TimerKey(ConfigStateMachine.NAME, "change");

    private final String writer;
    private final ConfigSettings settings;
    private final Deque<PendingChange> queue = new ArrayDeque<>();
    private long nextSequence = 1;
    private long appendNumber;
    private boolean appendInFlight;
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

    /** Queues a change requested by an operator. */
    void submit(RequestId request, ConfigurationRecord.SettingChanged change, long nowMs, Effects out) {
        enqueue(Optional.of(request), change, nowMs, out);
    }

    /** Queues a part of a snapshot; no caller waits for it. */
    void submit(ConfigurationRecord.SnapshotPart part, long nowMs, Effects out) {
        enqueue(Optional.empty(), part, nowMs, out);
    }

    /** Called when the log confirmed the append; whether the change takes effect is known once it is read back. */
    void appended(long number, long nowMs, Effects out) {
        if (isInFlight(number)) {
            appendInFlight = false;
            PendingChange head = queue.peekFirst();
            head.mayHaveTakenEffect = true;
            if (head.request.isEmpty()) {
                removeHead(nowMs, out);
            }
        }
    }

    /** Called when the append failed; if its outcome is unknown, it is retried until the record is read back. */
    void appendFailed(Event.AppendFailed failure, long nowMs, Effects out) {
        if (!isInFlight(failure.appendNumber())) {
            return;
        }
        appendInFlight = false;
        PendingChange head = queue.peekFirst();
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

    /** Called when a record of this writer was first read back; returns the request that is waiting for it. */
    Optional<RequestId> readBack(long sequence, long nowMs, Effects out) {
        PendingChange head = queue.peekFirst();
        if (head == null || head.sequence != sequence) {
            return Optional.empty();
        }
        removeHead(nowMs, out);
        return head.request;
    }

    /** Retries the append that is due, and refuses changes that have timed out. */
    void retryOrExpire(long nowMs, Effects out) {
        List<PendingChange> expired = new ArrayList<>();
        for (PendingChange pending : queue) {
            if (pending.deadlineMs <= nowMs) {
                expired.add(pending);
            }
        }
        for (PendingChange pending : expired) {
            boolean isHead = pending == queue.peekFirst();
            pending.mayHaveTakenEffect |= isHead && appendInFlight;
            refuse(pending, "the log did not respond in time", out);
            if (isHead) {
                removeHead(nowMs, out);
            } else {
                queue.remove(pending);
            }
        }
        if (!queue.isEmpty() && !appendInFlight && retryAtMs <= nowMs) {
            appendHead(out);
        }
        scheduleNext(out);
    }

    /** Drops the reply to a caller that has disconnected; the change itself continues. */
    void callerDisconnected(RequestId request) {
        for (PendingChange pending : queue) {
            if (pending.request.filter(request::equals).isPresent()) {
                pending.callerDisconnected = true;
            }
        }
    }

    private void enqueue(Optional<RequestId> request, ConfigurationRecord.Content content, long nowMs, Effects out) {
        long sequence = nextSequence++;
        ByteString payload = ConfigurationRecordCodec.encode(new ConfigurationRecord(writer, sequence, content));
        queue.addLast(new PendingChange(request, sequence, payload, nowMs + settings.changeTimeoutMs()));
        if (queue.size() == 1) {
            appendHead(out);
        }
        scheduleNext(out);
    }

    private void appendHead(Effects out) {
        retryAtMs = Long.MAX_VALUE;
        appendInFlight = true;
        appendNumber++;
        out.add(new Effect.Append(ConfigurationLog.STREAM, appendNumber, queue.peekFirst().payload));
    }

    private void removeHead(long nowMs, Effects out) {
        queue.removeFirst();
        appendInFlight = false;
        retryAtMs = Long.MAX_VALUE;
        if (!queue.isEmpty() && queue.peekFirst().deadlineMs > nowMs) {
            appendHead(out);
        }
        scheduleNext(out);
    }

    private void refuse(PendingChange pending, String reason, Effects out) {
        if (pending.request.isEmpty() || pending.callerDisconnected) {
            return;
        }
        Verdict verdict = pending.mayHaveTakenEffect ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        String message = reason + (pending.mayHaveTakenEffect ? "; the change may still take effect" : "");
        out.reply(
                pending.request.get(),
                new Refusal(verdict, RefusalCode.STORE_UNAVAILABLE, message, settings.appendRetryMs()));
    }

    private boolean isInFlight(long number) {
        return appendInFlight && number == appendNumber;
    }

    private void scheduleNext(Effects out) {
        long dueAtMs = retryAtMs;
        for (PendingChange pending : queue) {
            dueAtMs = Math.min(dueAtMs, pending.deadlineMs);
        }
        if (dueAtMs != Long.MAX_VALUE) {
            out.schedule(TIMER, dueAtMs);
        }
    }

    private static final class PendingChange {
        private final Optional<RequestId> request;
        private final long sequence;
        private final ByteString payload;
        private final long deadlineMs;
        private boolean mayHaveTakenEffect;
        private boolean callerDisconnected;

        PendingChange(Optional<RequestId> request, long sequence, ByteString payload, long deadlineMs) {
            this.request = request;
            this.sequence = sequence;
            this.payload = payload;
            this.deadlineMs = deadlineMs;
        }
    }
}

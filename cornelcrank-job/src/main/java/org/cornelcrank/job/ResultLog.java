package org.cornelcrank.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.cornelcrank.core.Backoff;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Fence;
import org.cornelcrank.core.KeyedRecord;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.core.TopicPartition;
import org.cornelcrank.store.StoreCalls;

/**
 * Writes the results of one partition under an epoch that the store enforces.
 *
 * <p>Opening raises the epoch and then reads what lies there, so that nothing of an older owner can follow. One append is
 * under way at a time, and is repeated with the same sequence until the store answers. Invariant: once the store has a
 * higher epoch nothing more is written, and the listener is told so once. Not thread-safe: confined to the daemon's event
 * loop.
 */
final class ResultLog {

    private static final String PRODUCER = "owner";

    /** The low bits of an epoch are drawn, so that two daemons that raise it at once never share one. */
    private static final int DRAWN_BITS = 20;

    /** How long an append may take before it is repeated, in ms: many times the store's usual answer. */
    private static final long APPEND_TIMEOUT_MS = 1_000;

    /** The first pause before a call is repeated, in ms; doubles up to the longest. */
    private static final long FIRST_PAUSE_MS = 50;

    /** The longest pause before a call is repeated, in ms. */
    private static final long LONGEST_PAUSE_MS = 800;

    private final TopicPartition at;
    private final TimerKey timer;
    private final StoreCalls store;
    private final int maxRequestBytes;
    private final RandomGenerator random;
    private final Backoff backoff;
    private final Listener listener;
    private final Deque<Write> queue = new ArrayDeque<>();
    private final List<Write> inFlight = new ArrayList<>();
    private State state = State.NEW;
    private Consumer<Effects> repeat = out -> {};
    private long epoch;
    private long sequence;

    ResultLog(
            TopicPartition at,
            TimerKey timer,
            StoreCalls store,
            int maxRequestBytes,
            RandomGenerator random,
            Listener listener) {
        this.at = Objects.requireNonNull(at, "at must not be null");
        this.timer = Objects.requireNonNull(timer, "timer must not be null");
        this.store = Objects.requireNonNull(store, "store must not be null");
        this.maxRequestBytes = maxRequestBytes;
        this.random = Objects.requireNonNull(random, "random must not be null");
        this.backoff = new Backoff(FIRST_PAUSE_MS, LONGEST_PAUSE_MS, random);
        this.listener = Objects.requireNonNull(listener, "listener must not be null");
    }

    /** Raises the epoch above the one given and reads all results. */
    void open(long aboveEpoch, Effects out) {
        epoch = ((aboveEpoch >> DRAWN_BITS) + 1 << DRAWN_BITS) + random.nextInt(1 << DRAWN_BITS);
        state = State.RAISING;
        raise(out);
    }

    private void raise(Effects out) {
        append(
                List.of(),
                0,
                (answer, nowMs, effects) -> {
                    if (state != State.RAISING) {
                        return;
                    }
                    if (answer instanceof StoreResponse.Appended) {
                        state = State.LOADING;
                        backoff.reset();
                        load("", effects);
                    } else if (answer instanceof StoreResponse.Fenced fenced) {
                        lose(fenced.epoch(), nowMs, effects);
                    } else {
                        pause(this::raise, nowMs, effects);
                    }
                },
                out);
    }

    private void load(String afterKey, Effects out) {
        store.call(
                new StoreRequest.ReadNewest(at, afterKey),
                (answer, nowMs, effects) -> {
                    if (state != State.LOADING) {
                        return;
                    }
                    if (!(answer instanceof StoreResponse.Newest page)) {
                        pause(again -> load(afterKey, again), nowMs, effects);
                        return;
                    }
                    page.records().forEach(listener::loaded);
                    if (page.more() && !page.records().isEmpty()) {
                        load(page.records().get(page.records().size() - 1).key(), effects);
                        return;
                    }
                    state = State.OPEN;
                    listener.opened(nowMs, effects);
                    send(nowMs, effects);
                },
                out);
    }

    /** Queues records; the callback is told once the store has them all. */
    void write(List<KeyedRecord> records, Acknowledged callback, long nowMs, Effects out) {
        queue.add(new Write(records, callback));
        send(nowMs, out);
    }

    private void send(long nowMs, Effects out) {
        if (state != State.OPEN || !inFlight.isEmpty() || queue.isEmpty()) {
            return;
        }
        int bytes = 0;
        while (!queue.isEmpty() && (inFlight.isEmpty() || bytes + queue.peek().bytes() <= maxRequestBytes)) {
            bytes += queue.peek().bytes();
            inFlight.add(queue.remove());
        }
        sendAgain(out);
    }

    private void sendAgain(Effects out) {
        List<KeyedRecord> records = new ArrayList<>();
        inFlight.forEach(write -> records.addAll(write.records()));
        append(records, sequence, this::appended, out);
    }

    private void appended(StoreResponse answer, long nowMs, Effects out) {
        if (state != State.OPEN) {
            return;
        }
        if (answer instanceof StoreResponse.Appended) {
            sequence++;
            backoff.reset();
            List<Write> done = List.copyOf(inFlight);
            inFlight.clear();
            done.forEach(write -> write.callback().acknowledged(nowMs, out));
            send(nowMs, out);
        } else if (answer instanceof StoreResponse.Fenced fenced) {
            lose(fenced.epoch(), nowMs, out);
        } else if (answer instanceof StoreResponse.OutOfSequence) {
            lose(epoch, nowMs, out);
        } else {
            pause(this::sendAgain, nowMs, out);
        }
    }

    private void append(List<KeyedRecord> records, long number, StoreCalls.Listener answered, Effects out) {
        Fence fence = new Fence(PRODUCER, epoch, number);
        store.call(new StoreRequest.Append(at, records, Optional.of(fence), APPEND_TIMEOUT_MS), answered, out);
    }

    private void lose(long higherEpoch, long nowMs, Effects out) {
        state = State.LOST;
        listener.lost(Math.max(higherEpoch, epoch), nowMs, out);
    }

    private void pause(Consumer<Effects> next, long nowMs, Effects out) {
        repeat = next;
        out.schedule(timer, nowMs + backoff.nextDelayMs());
    }

    /** Repeats what failed; called when the timer is due. */
    void timerDue(Effects out) {
        Consumer<Effects> next = repeat;
        repeat = unused -> {};
        next.accept(out);
    }

    /** Stops; what is queued is dropped, and what is under way may still reach the store. */
    void close() {
        state = State.LOST;
        queue.clear();
        inFlight.clear();
    }

    boolean isOpen() {
        return state == State.OPEN;
    }

    /** Returns whether no write waits for its acknowledgement. */
    boolean idle() {
        return queue.isEmpty() && inFlight.isEmpty();
    }

    long epoch() {
        return epoch;
    }

    private enum State {
        NEW,
        RAISING,
        LOADING,
        OPEN,
        LOST
    }

    /** Is told that the store has the records of a write. */
    interface Acknowledged {
        void acknowledged(long nowMs, Effects out);
    }

    /** Is told how far the log is. */
    interface Listener {

        /** A record lies in the store; they come in the order of their keys, before {@link #opened}. */
        void loaded(StoreResponse.StoredRecord record);

        /** This daemon owns the partition, and all its results have been told. */
        void opened(long nowMs, Effects out);

        /** Another daemon has a higher epoch; nothing more is written. */
        void lost(long higherEpoch, long nowMs, Effects out);
    }

    private record Write(List<KeyedRecord> records, Acknowledged callback) {

        int bytes() {
            return records.stream()
                    .mapToInt(record -> record.value().size() + KeyedRecord.MAX_KEY_BYTES)
                    .sum();
        }
    }
}

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
 * <p>Opening first raises the epoch and then reads the stored records, so that no record of a former owner can follow
 * them. One append is in flight at a time; it is retried with the same sequence number until the store responds.
 * Invariant: once the store has a higher epoch, nothing more is written and the listener is notified once. Not
 * thread-safe: confined to the daemon's event loop.
 */
final class ResultLog {

    private static final String PRODUCER = "owner";

    /**
     * The number of low bits of an epoch, random so that two daemons that raise it at once choose different ones. The
     * epochs of results are odd, those that fence off former owners even.
     */
    private static final int RANDOM_EPOCH_BITS = 20;

    /** How long an append may take before it is retried, in ms: many times the store's usual response time. */
    private static final long APPEND_TIMEOUT_MS = 1_000;

    /** The pause before the first retry of a call, in ms; doubles up to {@link #LONGEST_PAUSE_MS}. */
    private static final long FIRST_PAUSE_MS = 50;

    /** The longest pause before a retry, in ms. */
    private static final long LONGEST_PAUSE_MS = 800;

    private final TopicPartition partition;
    private final TimerKey timer;
    private final StoreCalls store;
    private final int maxRequestBytes;
    private final RandomGenerator random;
    private final Backoff backoff;
    private final Listener listener;
    private final Deque<Write> queue = new ArrayDeque<>();
    private final List<Write> inFlight = new ArrayList<>();
    private State state = State.NEW;
    private Consumer<Effects> retry = out -> {};
    private long leaseConfirmedUntilMs;
    private long aboveEpoch;
    private long epoch;
    private long sequence;

    ResultLog(
            TopicPartition partition,
            TimerKey timer,
            StoreCalls store,
            int maxRequestBytes,
            RandomGenerator random,
            Listener listener) {
        this.partition = Objects.requireNonNull(partition, "partition must not be null");
        this.timer = Objects.requireNonNull(timer, "timer must not be null");
        this.store = Objects.requireNonNull(store, "store must not be null");
        this.maxRequestBytes = maxRequestBytes;
        this.random = Objects.requireNonNull(random, "random must not be null");
        this.backoff = new Backoff(FIRST_PAUSE_MS, LONGEST_PAUSE_MS, random);
        this.listener = Objects.requireNonNull(listener, "listener must not be null");
    }

    /**
     * Raises the epoch above the given one, then reads all results.
     *
     * @param lastEpoch the highest epoch that is known; the store may have a higher one
     * @param confirmedUntilMs until when the lease of the partition counts as confirmed, so that a higher epoch of the
     *     store is that of a former owner
     */
    void open(long lastEpoch, long confirmedUntilMs, Effects out) {
        state = State.RAISING_EPOCH;
        leaseConfirmedUntilMs = confirmedUntilMs;
        chooseEpoch(lastEpoch);
        raiseEpoch(out);
    }

    private void chooseEpoch(long lastEpoch) {
        aboveEpoch = lastEpoch;
        long lowestEpoch = (lastEpoch >> RANDOM_EPOCH_BITS) + 1 << RANDOM_EPOCH_BITS;
        epoch = lowestEpoch + (random.nextInt(1 << RANDOM_EPOCH_BITS) | 1);
    }

    /**
     * Fences off former owners with the epoch below that of the results: under the same one, a store that counts this
     * append could take the first results for a repeat of it. A response that is out of sequence means that the store
     * has the epoch already, from an attempt without a response; as it may refuse each repeat, another epoch is raised.
     */
    private void raiseEpoch(Effects out) {
        append(
                List.of(),
                epoch - 1,
                0,
                (response, nowMs, effects) -> {
                    if (state != State.RAISING_EPOCH) {
                        return;
                    }
                    if (response instanceof StoreResponse.Appended) {
                        state = State.LOADING;
                        backoff.reset();
                        load("", effects);
                    } else if (response instanceof StoreResponse.Fenced fenced) {
                        epochRefused(fenced.epoch(), nowMs, effects);
                    } else {
                        if (response instanceof StoreResponse.OutOfSequence) {
                            chooseEpoch(epoch);
                        }
                        listener.openingDelayed(response, nowMs, effects);
                        scheduleRetry(this::raiseEpoch, nowMs, effects);
                    }
                },
                out);
    }

    /** Raises the epoch above that of the store, which a daemon that has just started cannot know before. */
    private void epochRefused(long higherEpoch, long nowMs, Effects out) {
        if (nowMs < leaseConfirmedUntilMs) {
            chooseEpoch(Math.max(higherEpoch, epoch));
            raiseEpoch(out);
        } else {
            loseOwnership(higherEpoch, nowMs, out);
        }
    }

    private void load(String afterKey, Effects out) {
        store.call(
                new StoreRequest.ReadNewest(partition, afterKey),
                (response, nowMs, effects) -> {
                    if (state != State.LOADING) {
                        return;
                    }
                    if (!(response instanceof StoreResponse.Newest page)) {
                        listener.openingDelayed(response, nowMs, effects);
                        scheduleRetry(retryEffects -> load(afterKey, retryEffects), nowMs, effects);
                        return;
                    }
                    page.records().forEach(listener::loaded);
                    if (page.more() && !page.records().isEmpty()) {
                        load(page.records().get(page.records().size() - 1).key(), effects);
                        return;
                    }
                    state = State.OPEN;
                    listener.opened(nowMs, effects);
                    sendQueued(nowMs, effects);
                },
                out);
    }

    /** Queues records; the callback is called once the store has acknowledged all of them. */
    void write(List<KeyedRecord> records, WriteCallback callback, long nowMs, Effects out) {
        queue.add(new Write(records, callback));
        sendQueued(nowMs, out);
    }

    private void sendQueued(long nowMs, Effects out) {
        if (state != State.OPEN || !inFlight.isEmpty() || queue.isEmpty()) {
            return;
        }
        int bytes = 0;
        while (!queue.isEmpty() && (inFlight.isEmpty() || bytes + queue.peek().bytes() <= maxRequestBytes)) {
            bytes += queue.peek().bytes();
            inFlight.add(queue.remove());
        }
        appendInFlight(out);
    }

    private void appendInFlight(Effects out) {
        List<KeyedRecord> records = new ArrayList<>();
        inFlight.forEach(write -> records.addAll(write.records()));
        append(records, epoch, sequence, this::appended, out);
    }

    private void appended(StoreResponse response, long nowMs, Effects out) {
        if (state != State.OPEN) {
            return;
        }
        if (response instanceof StoreResponse.Appended) {
            sequence++;
            backoff.reset();
            List<Write> acknowledged = List.copyOf(inFlight);
            inFlight.clear();
            acknowledged.forEach(write -> write.callback().acknowledged(nowMs, out));
            sendQueued(nowMs, out);
        } else if (response instanceof StoreResponse.Fenced fenced) {
            loseOwnership(fenced.epoch(), nowMs, out);
        } else if (response instanceof StoreResponse.OutOfSequence) {
            loseOwnership(epoch, nowMs, out);
        } else {
            scheduleRetry(this::appendInFlight, nowMs, out);
        }
    }

    private void append(
            List<KeyedRecord> records,
            long appendEpoch,
            long appendSequence,
            StoreCalls.Listener callback,
            Effects out) {
        Fence fence = new Fence(PRODUCER, appendEpoch, appendSequence);
        store.call(new StoreRequest.Append(partition, records, Optional.of(fence), APPEND_TIMEOUT_MS), callback, out);
    }

    private void loseOwnership(long higherEpoch, long nowMs, Effects out) {
        state = State.LOST;
        listener.lost(Math.max(higherEpoch, epoch), nowMs, out);
    }

    private void scheduleRetry(Consumer<Effects> next, long nowMs, Effects out) {
        retry = next;
        out.schedule(timer, nowMs + backoff.nextDelayMs());
    }

    /** Retries the call that failed; called when the timer is due. */
    void timerDue(Effects out) {
        Consumer<Effects> next = retry;
        retry = unused -> {};
        next.accept(out);
    }

    /** Stops; queued writes are dropped, and an append in flight may still reach the store. */
    void close() {
        state = State.LOST;
        queue.clear();
        inFlight.clear();
    }

    boolean isOpen() {
        return state == State.OPEN;
    }

    /** Returns whether all writes have been acknowledged. */
    boolean idle() {
        return queue.isEmpty() && inFlight.isEmpty();
    }

    long epoch() {
        return epoch;
    }

    /**
     * Returns whether an owner with the given epoch has opened the partition later. An epoch that the store has not
     * confirmed proves nothing: any that is newer than those known when it was chosen may have been raised since.
     */
    boolean isOlderThan(long otherEpoch) {
        return otherEpoch > (state == State.RAISING_EPOCH ? aboveEpoch : epoch);
    }

    private enum State {
        NEW,
        RAISING_EPOCH,
        LOADING,
        OPEN,
        LOST
    }

    /** Is notified that the store has acknowledged all records of a write. */
    interface WriteCallback {
        void acknowledged(long nowMs, Effects out);
    }

    /** Receives the stored records, and is notified of the gain and the loss of ownership. */
    interface Listener {

        /** Receives a stored record; called in the order of keys, before {@link #opened}. */
        void loaded(StoreResponse.StoredRecord record);

        /** The store has not done what the opening needs; it is retried. */
        void openingDelayed(StoreResponse response, long nowMs, Effects out);

        /** This daemon owns the partition, and all its records have been passed to {@link #loaded}. */
        void opened(long nowMs, Effects out);

        /** Another daemon has raised the epoch; nothing more is written. */
        void lost(long higherEpoch, long nowMs, Effects out);
    }

    private record Write(List<KeyedRecord> records, WriteCallback callback) {

        int bytes() {
            return records.stream()
                    .mapToInt(record -> record.value().size() + KeyedRecord.MAX_KEY_BYTES)
                    .sum();
        }
    }
}

package org.cornelcrank.store;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import org.cornelcrank.core.Backoff;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.core.TopicPartition;

/**
 * Follows one partition of a keyed topic: first the newest record of each key, then each further record.
 *
 * <p>The pages of the first reading are no snapshot, so it is followed from the end that the first page told. Where the
 * records have expired meanwhile it reads anew, and tells the listener of keys that have vanished. Failed reads are
 * repeated after a pause with jitter. Not thread-safe: confined to the daemon's event loop.
 */
public final class KeyedTopicFollower {

    /** Bounds one answer of the store, in KiB; the store's own default. */
    private static final int MAX_KILOBYTES = 1_024;

    /** The first pause after a failed read, in ms; doubles up to the longest. */
    private static final long FIRST_PAUSE_MS = 100;

    /** The longest pause after a failed read, in ms: short against the seconds within which a change must be known. */
    private static final long LONGEST_PAUSE_MS = 800;

    private final TopicPartition at;
    private final TimerKey timer;
    private final StoreCalls store;
    private final Backoff backoff;
    private final Listener listener;
    private final long waitMs;
    private final Set<String> known = new TreeSet<>();
    private final Set<String> found = new HashSet<>();
    private long nextOffset;
    private long followFrom;
    private boolean loading;
    private boolean stopped;
    private long currentAtMs = Long.MIN_VALUE / 2;
    private long reading;
    private String lastKey = "";

    /**
     * Creates a follower that does nothing before {@link #start}.
     *
     * @param at the partition
     * @param timer the timer on which the owning duty calls {@link #timerDue}
     * @param waitMs how long the store may keep a read waiting, in ms; bounds how long a silent connection goes unnoticed
     */
    public KeyedTopicFollower(
            TopicPartition at,
            TimerKey timer,
            long waitMs,
            StoreCalls store,
            RandomGenerator random,
            Listener listener) {
        this.at = Objects.requireNonNull(at, "at must not be null");
        this.timer = Objects.requireNonNull(timer, "timer must not be null");
        this.waitMs = waitMs;
        this.store = Objects.requireNonNull(store, "store must not be null");
        this.backoff = new Backoff(FIRST_PAUSE_MS, LONGEST_PAUSE_MS, random);
        this.listener = Objects.requireNonNull(listener, "listener must not be null");
    }

    /** Begins to read. */
    public void start(long nowMs, Effects out) {
        stopped = false;
        load(out);
    }

    /** Stops; answers that are under way are passed over. */
    public void stop() {
        stopped = true;
        reading++;
    }

    /** Returns the time in ms at which everything in the partition was known last. */
    public long currentAtMs() {
        return currentAtMs;
    }

    /** Goes on after a pause; called when the timer is due. */
    public void timerDue(long nowMs, Effects out) {
        if (stopped) {
            return;
        }
        if (loading) {
            readPage(lastKey, out);
        } else {
            read(out);
        }
    }

    private void load(Effects out) {
        loading = true;
        lastKey = "";
        followFrom = -1;
        found.clear();
        readPage("", out);
    }

    private void readPage(String afterKey, Effects out) {
        long number = ++reading;
        store.call(
                new StoreRequest.ReadNewest(at, afterKey),
                (answer, nowMs, effects) -> {
                    if (number == reading) {
                        pageRead(answer, nowMs, effects);
                    }
                },
                out);
    }

    private void pageRead(StoreResponse answer, long nowMs, Effects out) {
        if (!(answer instanceof StoreResponse.Newest page)) {
            pause(nowMs, out);
            return;
        }
        backoff.reset();
        followFrom = followFrom < 0 ? page.end() : followFrom;
        for (StoreResponse.StoredRecord record : page.records()) {
            found.add(record.key());
            take(record, nowMs, out);
        }
        if (page.more() && !page.records().isEmpty()) {
            lastKey = page.records().get(page.records().size() - 1).key();
            readPage(lastKey, out);
            return;
        }
        dropVanished(nowMs, out);
        loading = false;
        nextOffset = followFrom;
        currentAtMs = nowMs;
        listener.current(nowMs, out);
        read(out);
    }

    private void dropVanished(long nowMs, Effects out) {
        for (String key : Set.copyOf(known)) {
            if (!found.contains(key)) {
                known.remove(key);
                listener.dropped(key, nowMs, out);
            }
        }
    }

    private void read(Effects out) {
        long number = ++reading;
        store.call(
                new StoreRequest.Read(at, nextOffset, MAX_KILOBYTES, waitMs),
                (answer, nowMs, effects) -> {
                    if (number == reading) {
                        recordsRead(answer, nowMs, effects);
                    }
                },
                out);
    }

    private void recordsRead(StoreResponse answer, long nowMs, Effects out) {
        if (answer instanceof StoreResponse.Expired) {
            load(out);
            return;
        }
        if (!(answer instanceof StoreResponse.Records read)) {
            pause(nowMs, out);
            return;
        }
        backoff.reset();
        if (read.end() < nextOffset) {
            load(out);
            return;
        }
        for (StoreResponse.StoredRecord record : read.records()) {
            if (record.offset() >= nextOffset) {
                take(record, nowMs, out);
            }
        }
        nextOffset = Math.max(nextOffset, read.nextOffset());
        if (nextOffset >= read.end()) {
            currentAtMs = nowMs;
            listener.current(nowMs, out);
        }
        read(out);
    }

    private void take(StoreResponse.StoredRecord record, long nowMs, Effects out) {
        if (record.drops()) {
            if (known.remove(record.key())) {
                listener.dropped(record.key(), nowMs, out);
            }
            return;
        }
        known.add(record.key());
        listener.put(record, nowMs, out);
    }

    private void pause(long nowMs, Effects out) {
        out.schedule(timer, nowMs + backoff.nextDelayMs());
    }

    /** Is told of the records in their order; a record may be told again. */
    public interface Listener {

        /** A key has a new value. */
        void put(StoreResponse.StoredRecord record, long nowMs, Effects out);

        /** A key was dropped. */
        void dropped(String key, long nowMs, Effects out);

        /** All records up to the partition's end have been told. */
        default void current(long nowMs, Effects out) {}
    }
}

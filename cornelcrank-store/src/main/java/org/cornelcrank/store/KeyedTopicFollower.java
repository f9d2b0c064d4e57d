package org.cornelcrank.store;

import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.cornelcrank.core.Backoff;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.core.TopicPartition;

/**
 * Follows one partition of a keyed topic: loads the newest record of each key, then reads each further record.
 *
 * <p>The pages of a load are not a consistent snapshot, so reading continues from the lowest end offset of its pages.
 * A page that arrives in part has no end offset; if it is the first one, the end is read by itself and the load begins
 * again, and goes on behind what has arrived from then on. If records expire before they are read, or the end is
 * behind those that have been read, the follower loads the partition again after a pause, and notifies the listener of
 * keys that have been dropped; a key whose record is behind the end of the pages has not. Failed reads are retried
 * after a pause with jitter, and those without a response with fewer bytes, as a slow link would never transfer the
 * same bytes in time. Reads start at least a minimum interval apart, so that many changes in a short time cost few
 * reads; a change after a quiet period is read at once. On request, one more read that does not wait confirms that all
 * records have been delivered; a request during such a read is served by another one behind it. Invariant: a record
 * that the listener fails to handle is skipped and reported, and neither the records behind it nor later reads depend
 * on it. Not thread-safe: confined to the daemon's event loop.
 */
public final class KeyedTopicFollower {

    /** The size limit of one response of the store, in KiB; same as the store's default. */
    private static final int MAX_KILOBYTES = 1_024;

    /** The size limit after reads that have taken too long, in KiB; above the size of the largest record. */
    private static final int MIN_KILOBYTES = 320;

    /** The pause after the first failed read, in ms; doubles up to {@link #LONGEST_PAUSE_MS}. */
    private static final long FIRST_PAUSE_MS = 100;

    /** The longest pause after a failed read, in ms; short, because changes must be observed within seconds. */
    private static final long LONGEST_PAUSE_MS = 800;

    /** The shortest time between two confirmations, in ms; bounds the reads of many daemons that all need one. */
    private static final long MIN_CONFIRMATION_INTERVAL_MS = 50;

    /** Sorts behind all usual keys; a page behind it is short, so that its end offset arrives soon. */
    private static final String KEY_BEHIND_ALL = "~";

    private final TopicPartition partition;
    private final TimerKey timer;
    private final TimerKey confirmationTimer;
    private final StoreCalls store;
    private final Backoff backoff;
    private final Listener listener;
    private final long waitMs;
    private final long minIntervalMs;
    private final Backoff loadBackoff;
    private final Map<String, Long> offsets = new TreeMap<>();
    private final Set<String> loadedKeys = new HashSet<>();
    private boolean confirming;
    private boolean confirmAgain;
    private long nextOffset;
    private long followFrom;
    private boolean endNeeded;
    private boolean loading;
    private boolean loaded;
    private boolean started;
    private long caughtUpAtMs = Long.MIN_VALUE / 2;
    private long confirmedAsOfMs = Long.MIN_VALUE / 2;
    private long loadBegunAtMs;
    private long lastRead;
    private long confirmationSentAtMs = Long.MIN_VALUE / 2;
    private long readAtMs = Long.MIN_VALUE / 2;
    private int maxKilobytes = MAX_KILOBYTES;
    private String lastKey = "";

    /**
     * Creates a follower that is idle until {@link #start} is called.
     *
     * @param partition the partition
     * @param timer the timer on which the owning state machine calls {@link #timerDue}
     * @param times how long and how often to read
     */
    public KeyedTopicFollower(
            TopicPartition partition,
            TimerKey timer,
            Times times,
            StoreCalls store,
            RandomGenerator random,
            Listener listener) {
        this.partition = Objects.requireNonNull(partition, "partition must not be null");
        this.timer = Objects.requireNonNull(timer, "timer must not be null");
        this.confirmationTimer = new TimerKey(timer.stateMachine(), timer.name() + "/confirm");
        this.waitMs = times.waitMs();
        this.minIntervalMs = times.minIntervalMs();
        this.store = Objects.requireNonNull(store, "store must not be null");
        this.backoff = new Backoff(FIRST_PAUSE_MS, LONGEST_PAUSE_MS, random);
        this.loadBackoff = new Backoff(FIRST_PAUSE_MS, LONGEST_PAUSE_MS, random);
        this.listener = Objects.requireNonNull(listener, "listener must not be null");
    }

    /** Starts to load the partition. */
    public void start(long nowMs, Effects out) {
        started = true;
        load(nowMs, out);
    }

    /** Stops; responses to reads in flight are ignored. */
    public void stop() {
        started = false;
        lastRead++;
        confirmAgain = false;
    }

    /**
     * Reads to the end of the partition at once, beside the read that waits; the listener is notified by
     * {@link Listener#caughtUp} or {@link Listener#unconfirmed}. Does nothing before the start or after the stop.
     */
    public void confirm(long nowMs, Effects out) {
        if (!started) {
            return;
        }
        if (confirming || loading) {
            confirmAgain = true;
            return;
        }
        if (nowMs < confirmationSentAtMs + MIN_CONFIRMATION_INTERVAL_MS) {
            confirmAgain = true;
            out.schedule(confirmationTimer, confirmationSentAtMs + MIN_CONFIRMATION_INTERVAL_MS);
            return;
        }
        confirming = true;
        confirmationSentAtMs = nowMs;
        long fromOffset = nextOffset;
        store.call(
                new StoreRequest.Read(partition, fromOffset, maxKilobytes, 0),
                (response, respondedAtMs, effects) ->
                        confirmationReceived(response, fromOffset, nowMs, respondedAtMs, effects),
                out);
    }

    private void confirmationReceived(StoreResponse response, long fromOffset, long sentAtMs, long nowMs, Effects out) {
        confirming = false;
        if (!started) {
            return;
        }
        if (loading || !(response instanceof StoreResponse.Records records) || records.end() < fromOffset) {
            notifyListener("a confirmation", () -> listener.unconfirmed(sentAtMs, nowMs, out), out);
        } else {
            applyAll(records, nowMs, out);
            if (nextOffset >= records.end()) {
                reachedEnd(sentAtMs, nowMs, out);
            } else {
                confirmAgain = true;
            }
        }
        confirmIfRequested(nowMs, out);
    }

    private void confirmIfRequested(long nowMs, Effects out) {
        if (confirmAgain && !loading && !confirming) {
            confirmAgain = false;
            confirm(nowMs, out);
        }
    }

    /** Returns the time in ms at which this follower last reached the end of the partition. */
    public long caughtUpAtMs() {
        return caughtUpAtMs;
    }

    /**
     * Returns the time in ms as of which the listener has all records: when the latest read that reached the end of the
     * partition was sent. What was appended before then has been delivered, as reads of the store are linearizable.
     */
    public long confirmedAsOfMs() {
        return confirmedAsOfMs;
    }

    /** Sends a confirmation that had to wait; returns whether the timer belongs to this follower's confirmations. */
    public boolean confirmationDue(TimerKey key, long nowMs, Effects out) {
        if (!key.equals(confirmationTimer)) {
            return false;
        }
        confirmIfRequested(nowMs, out);
        return true;
    }

    /** Retries the failed read; called when the timer is due. Does nothing before the start or after the stop. */
    public void timerDue(long nowMs, Effects out) {
        if (!started) {
            return;
        }
        if (loading && endNeeded && followFrom < 0) {
            readEnd(out);
        } else if (loading) {
            readPage(lastKey, out);
        } else {
            read(nowMs, out);
        }
    }

    private void load(long nowMs, Effects out) {
        beginLoad(nowMs);
        readPage(lastKey, out);
    }

    private void beginLoad(long nowMs) {
        loading = true;
        loadBegunAtMs = nowMs;
        lastKey = "";
        followFrom = -1;
        endNeeded = false;
        loadedKeys.clear();
    }

    /** Loads the partition again after a pause, as reads may be behind the pages for seconds. */
    private void scheduleLoad(long nowMs, Effects out) {
        beginLoad(nowMs);
        out.schedule(timer, nowMs + loadBackoff.nextDelayMs());
    }

    /** Reads the end of the partition before its pages, none of which then has to arrive as a whole. */
    private void readEnd(Effects out) {
        long number = ++lastRead;
        store.call(
                new StoreRequest.ReadNewest(partition, KEY_BEHIND_ALL),
                (response, nowMs, effects) -> {
                    if (number == lastRead) {
                        endReceived(response, nowMs, effects);
                    }
                },
                out);
    }

    private void endReceived(StoreResponse response, long nowMs, Effects out) {
        if (!(response instanceof StoreResponse.Newest page) || page.end() < 0) {
            scheduleRetry(nowMs, out);
            return;
        }
        backoff.reset();
        followFrom = page.end();
        readPage(lastKey, out);
    }

    private void readPage(String afterKey, Effects out) {
        long number = ++lastRead;
        store.call(
                new StoreRequest.ReadNewest(partition, afterKey),
                (response, nowMs, effects) -> {
                    if (number == lastRead) {
                        pageReceived(response, nowMs, effects);
                    }
                },
                out);
    }

    private void pageReceived(StoreResponse response, long nowMs, Effects out) {
        if (!(response instanceof StoreResponse.Newest page)) {
            scheduleRetry(nowMs, out);
            return;
        }
        if (followFrom < 0 && page.end() < 0) {
            endNeeded = true;
            readEnd(out);
            return;
        }
        backoff.reset();
        if (followFrom < 0 || page.end() >= 0) {
            followFrom = followFrom < 0 ? page.end() : Math.min(followFrom, page.end());
        }
        for (StoreResponse.StoredRecord record : page.records()) {
            loadedKeys.add(record.key());
            apply(record, nowMs, out);
        }
        if (page.more() && !page.records().isEmpty()) {
            lastKey = page.records().get(page.records().size() - 1).key();
            readPage(lastKey, out);
            return;
        }
        dropMissingKeys(nowMs, out);
        loading = false;
        nextOffset = followFrom;
        if (loaded) {
            notifyListener("a load", () -> listener.reloaded(nowMs, out), out);
        }
        loaded = true;
        reachedEnd(loadBegunAtMs, nowMs, out);
        read(nowMs, out);
        confirmIfRequested(nowMs, out);
    }

    private void reachedEnd(long readSentAtMs, long nowMs, Effects out) {
        caughtUpAtMs = nowMs;
        confirmedAsOfMs = Math.max(confirmedAsOfMs, readSentAtMs);
        notifyListener("the end", () -> listener.caughtUp(nowMs, out), out);
    }

    private void dropMissingKeys(long nowMs, Effects out) {
        for (String key : Set.copyOf(offsets.keySet())) {
            if (!loadedKeys.contains(key) && offsets.get(key) < followFrom) {
                offsets.remove(key);
                notifyListener("key " + key, () -> listener.dropped(key, nowMs, out), out);
            }
        }
    }

    private void readWhenDue(long nowMs, Effects out) {
        long dueAtMs = readAtMs + minIntervalMs;
        if (dueAtMs > nowMs) {
            out.schedule(timer, dueAtMs);
        } else {
            read(nowMs, out);
        }
    }

    private void read(long nowMs, Effects out) {
        long number = ++lastRead;
        long fromOffset = nextOffset;
        readAtMs = nowMs;
        store.call(
                new StoreRequest.Read(partition, fromOffset, maxKilobytes, waitMs),
                (response, respondedAtMs, effects) -> {
                    if (number == lastRead) {
                        recordsReceived(response, fromOffset, respondedAtMs, effects);
                    }
                },
                out);
    }

    private void recordsReceived(StoreResponse response, long fromOffset, long nowMs, Effects out) {
        if (response instanceof StoreResponse.Expired) {
            scheduleLoad(nowMs, out);
            return;
        }
        if (response instanceof StoreResponse.Unknown) {
            maxKilobytes = Math.max(MIN_KILOBYTES, maxKilobytes / 2);
        }
        if (!(response instanceof StoreResponse.Records records)) {
            notifyListener("a failed read", () -> listener.unconfirmed(readAtMs, nowMs, out), out);
            scheduleRetry(nowMs, out);
            return;
        }
        backoff.reset();
        maxKilobytes = Math.min(MAX_KILOBYTES, maxKilobytes * 2);
        if (records.end() < fromOffset) {
            scheduleLoad(nowMs, out);
            return;
        }
        loadBackoff.reset();
        applyAll(records, nowMs, out);
        if (nextOffset >= records.end()) {
            reachedEnd(readAtMs, nowMs, out);
            readWhenDue(nowMs, out);
        } else {
            read(nowMs, out);
        }
    }

    private void applyAll(StoreResponse.Records records, long nowMs, Effects out) {
        for (StoreResponse.StoredRecord record : records.records()) {
            if (record.offset() >= nextOffset) {
                apply(record, nowMs, out);
            }
        }
        nextOffset = Math.max(nextOffset, records.nextOffset());
    }

    private void apply(StoreResponse.StoredRecord record, long nowMs, Effects out) {
        if (record.isTombstone()) {
            if (offsets.remove(record.key()) != null) {
                notifyListener("key " + record.key(), () -> listener.dropped(record.key(), nowMs, out), out);
            }
            return;
        }
        offsets.put(record.key(), record.offset());
        notifyListener("record " + record.key(), () -> listener.put(record, nowMs, out), out);
    }

    /** Notifies the listener; what it cannot handle is skipped, as reading would never pass it otherwise. */
    private void notifyListener(String subject, Runnable notification, Effects out) {
        try {
            notification.run();
        } catch (RuntimeException | StackOverflowError e) {
            String part = subject + " of " + partition.topic() + "/" + partition.partition();
            out.add(new Effect.HandlingFailed(StoreCalls.NAME, part, e));
        }
    }

    private void scheduleRetry(long nowMs, Effects out) {
        out.schedule(timer, nowMs + backoff.nextDelayMs());
    }

    /**
     * How long and how often a follower reads.
     *
     * @param waitMs how long the store may hold a read open, in ms; bounds the time to detect a dead connection
     * @param minIntervalMs the shortest time between the starts of two reads, in ms; bounds how long a change that
     *     follows another may remain unread
     */
    public record Times(long waitMs, long minIntervalMs) {

        public Times {
            if (waitMs < 0 || minIntervalMs < 0) {
                throw new IllegalArgumentException(
                        "waitMs and minIntervalMs must not be negative but were " + waitMs + " and " + minIntervalMs);
            }
        }

        /** Returns times with which each change is read at once. */
        public static Times immediate(long waitMs) {
            return new Times(waitMs, 0);
        }
    }

    /** Receives the records of a partition in their order; a record may be delivered more than once. */
    public interface Listener {

        /** A key has a new value. */
        void put(StoreResponse.StoredRecord record, long nowMs, Effects out);

        /** A key was dropped. */
        void dropped(String key, long nowMs, Effects out);

        /** All records up to the partition's end have been delivered. */
        default void caughtUp(long nowMs, Effects out) {}

        /** A read that was sent at {@code sentAtMs} has failed: a confirmation, or one that follows the partition. */
        default void unconfirmed(long sentAtMs, long nowMs, Effects out) {}

        /** The partition has been loaded again, so that records between two values of a key may have been missed. */
        default void reloaded(long nowMs, Effects out) {}
    }
}

package org.cornelcrank.batch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.cornelcrank.batch.wire.BatchRecord;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.partition.RecordPosition;

/**
 * Buffers a job's next items, which it reads from the log ahead of demand.
 *
 * <p>Invariants: each unfinished item passes through the window once, in order; items are buffered only up to the job's
 * part of the {@link WindowBudget}, but always at least one; at most one further page is being read. Not thread-safe:
 * confined to the daemon's event loop.
 */
final class ItemWindow implements BodyReads.BodyListener {

    private final BatchContext context;
    private final PartitionId partition;
    private final StoredJob job;
    private final StoredFile file;
    private final WindowListener listener;
    private final Deque<WaitingItem> ready = new ArrayDeque<>();
    private final SortedMap<Long, Deque<WaitingItem>> delayed = new TreeMap<>();
    private int cursor;
    private long readyBytes;
    private long heldBytes;
    private boolean closed;
    private boolean reading;
    private long retryReadAtMs;

    ItemWindow(BatchContext context, PartitionId partition, StoredJob job, StoredFile file, WindowListener listener) {
        this.context = context;
        this.partition = partition;
        this.job = job;
        this.file = file;
        this.listener = listener;
    }

    int ready() {
        return ready.size();
    }

    /** Returns whether no item is waiting or remains to be read. */
    boolean exhausted() {
        return ready.isEmpty()
                && delayed.isEmpty()
                && !reading
                && job.nextUnfinished(cursor) >= job.terms().total();
    }

    Optional<WaitingItem> take() {
        WaitingItem item = ready.pollFirst();
        if (item != null) {
            readyBytes -= item.bytes();
        }
        return Optional.ofNullable(item);
    }

    /** Puts an item at the head of the queue. */
    void putFirst(WaitingItem item) {
        ready.addFirst(item);
        readyBytes += item.bytes();
    }

    void putDelayed(WaitingItem item, long readyAtMs, Effects out) {
        delayed.computeIfAbsent(readyAtMs, key -> new ArrayDeque<>()).add(item);
        context.retryTimer().arm(readyAtMs, out);
    }

    /** Frees the memory of an item that ended. */
    void release(WaitingItem item) {
        heldBytes -= item.bytes();
        context.windows().release(item.bytes());
    }

    /** Frees all memory; lines that are still being read will be discarded. */
    void close() {
        closed = true;
        context.windows().release(heldBytes);
        heldBytes = 0;
        ready.clear();
        delayed.clear();
    }

    /** Requeues the items whose delay is over, and arms the timer for the others. */
    void requeueDue(long nowMs, Effects out) {
        while (!delayed.isEmpty() && delayed.firstKey() <= nowMs) {
            delayed.remove(delayed.firstKey()).forEach(this::putFirst);
        }
        if (!delayed.isEmpty()) {
            context.retryTimer().arm(delayed.firstKey(), out);
        }
        fill(nowMs, out);
    }

    /** Reads the next page if no item is ready, or if less than half of the window is in use. */
    void fill(long nowMs, Effects out) {
        if (closed || reading || !ready.isEmpty() && !hasCapacity(2)) {
            return;
        }
        if (nowMs < retryReadAtMs) {
            context.retryTimer().arm(retryReadAtMs, out);
            return;
        }
        cursor = job.nextUnfinished(cursor);
        if (cursor >= job.terms().total()) {
            return;
        }
        reading = true;
        List<RecordPosition> positions = file.pages().covering(cursor, cursor);
        context.reads().read(partition, positions, this, nowMs, out);
    }

    @Override
    public void recordsRead(SortedMap<RecordPosition, BatchRecord> records, long nowMs, Effects out) {
        reading = false;
        if (closed) {
            return;
        }
        if (records.isEmpty()) {
            skipUnreadablePage(nowMs, out);
        } else {
            load(records.get(records.firstKey()), nowMs, out);
        }
        listener.windowFilled(nowMs, out);
    }

    @Override
    public void recordsUnavailable(long nowMs, Effects out) {
        reading = false;
        retryReadAtMs = nowMs + context.limits().retryDelayMs();
        context.retryTimer().arm(retryReadAtMs, out);
    }

    private void load(BatchRecord record, long nowMs, Effects out) {
        int firstItem = record.getItemsAdded().getFirstItem();
        int end = firstItem + record.getItemsAdded().getLinesCount();
        boolean loadedAny = false;
        while (cursor < end && (hasCapacity(1) || !loadedAny)) {
            if (!job.itemFinished(cursor)) {
                loadedAny |= load(record.getItemsAdded().getLines(cursor - firstItem), nowMs, out);
            }
            cursor++;
        }
    }

    private boolean load(ByteString line, long nowMs, Effects out) {
        Optional<ItemLine> parsed = ItemLine.parse(line);
        if (parsed.isEmpty()) {
            listener.itemInvalid(cursor, "", "the line is not a JSON object with a body", nowMs, out);
            return false;
        }
        ItemLine item = parsed.get();
        if (!item.service().equals(job.terms().service().value())) {
            listener.itemInvalid(cursor, item.customId(), "the model differs from that of the first line", nowMs, out);
            return false;
        }
        if (!item.url().equals(job.terms().endpoint())) {
            listener.itemInvalid(cursor, item.customId(), "the url differs from the job's endpoint", nowMs, out);
            return false;
        }
        WaitingItem waiting = new WaitingItem(cursor, item, job.attempts(cursor), 0);
        ready.addLast(waiting);
        readyBytes += waiting.bytes();
        heldBytes += waiting.bytes();
        context.windows().hold(waiting.bytes());
        return true;
    }

    private void skipUnreadablePage(long nowMs, Effects out) {
        int end = file.pages().endOfPage(cursor);
        while (cursor < end) {
            if (!job.itemFinished(cursor)) {
                listener.itemInvalid(cursor, "", "the line has expired from the log", nowMs, out);
            }
            cursor++;
        }
    }

    private boolean hasCapacity(int divisor) {
        return context.windows().hasCapacity(readyBytes, divisor)
                && ready.size() < context.limits().maxJobWindowItems() / divisor;
    }

    /** Receives the events of an item window. */
    interface WindowListener {

        void windowFilled(long nowMs, Effects out);

        /** Called for an item that no target could run. */
        void itemInvalid(int item, String customId, String reason, long nowMs, Effects out);
    }
}

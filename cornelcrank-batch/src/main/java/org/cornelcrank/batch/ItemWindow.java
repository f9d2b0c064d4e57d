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
 * Holds the lines of a job's next items, read from the log ahead of demand.
 *
 * <p>Invariants: each unfinished item passes through the window once, in order; items are kept only up to the job's part
 * of the {@link WindowBudget}, or one; one page may be in reading besides. Not thread-safe: confined to the daemon's
 * event loop.
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
    private long readAgainAtMs;

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

    /** Returns whether no item waits, and none is left to be read. */
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

    /** Puts an item before all others. */
    void putFirst(WaitingItem item) {
        ready.addFirst(item);
        readyBytes += item.bytes();
    }

    void putDelayed(WaitingItem item, long readyAtMs, Effects out) {
        delayed.computeIfAbsent(readyAtMs, key -> new ArrayDeque<>()).add(item);
        context.retryTimer().arm(readyAtMs, out);
    }

    /** Lets go of an item that ended. */
    void release(WaitingItem item) {
        heldBytes -= item.bytes();
        context.windows().release(item.bytes());
    }

    /** Lets go of everything; lines that are still being read are passed over. */
    void close() {
        closed = true;
        context.windows().release(heldBytes);
        heldBytes = 0;
        ready.clear();
        delayed.clear();
    }

    /** Readies the items whose delay is over, and arms the timer for the others. */
    void readyDue(long nowMs, Effects out) {
        while (!delayed.isEmpty() && delayed.firstKey() <= nowMs) {
            delayed.remove(delayed.firstKey()).forEach(this::putFirst);
        }
        if (!delayed.isEmpty()) {
            context.retryTimer().arm(delayed.firstKey(), out);
        }
        fill(nowMs, out);
    }

    /** Reads the next page if the window has room for half of itself. */
    void fill(long nowMs, Effects out) {
        if (closed || reading || !ready.isEmpty() && !hasCapacity(2)) {
            return;
        }
        if (nowMs < readAgainAtMs) {
            context.retryTimer().arm(readAgainAtMs, out);
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
        readAgainAtMs = nowMs + context.limits().retryDelayMs();
        context.retryTimer().arm(readAgainAtMs, out);
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
            listener.itemInvalid(cursor, "", "the line is not an object with a body", nowMs, out);
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
                listener.itemInvalid(cursor, "", "the line is no longer in the log", nowMs, out);
            }
            cursor++;
        }
    }

    private boolean hasCapacity(int parts) {
        return context.windows().hasCapacity(readyBytes, parts)
                && ready.size() < context.limits().maxJobWindowItems() / parts;
    }

    /** Is told of what comes into the window. */
    interface WindowListener {

        void windowFilled(long nowMs, Effects out);

        /** An item cannot be run, whatever the target. */
        void itemInvalid(int item, String customId, String reason, long nowMs, Effects out);
    }
}

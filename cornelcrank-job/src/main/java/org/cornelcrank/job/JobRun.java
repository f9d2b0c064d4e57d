package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.JobId;

/**
 * A job at the owner of its partition: which items wait, run and are finished, and the list of results.
 *
 * <p>Invariants: an item is finished once; a position holds one result for ever; positions have no gap. Not thread-safe:
 * confined to the daemon's event loop.
 */
final class JobRun {

    private final JobId id;
    private final JobContent content;
    private final int parts;
    private final long knownAtMs;
    private final List<ListedResult> listed = new ArrayList<>();
    private final Map<Integer, ItemProgress> progress = new TreeMap<>();
    private final BitSet waiting = new BitSet();
    private final BitSet finished = new BitSet();
    private int assignedPositions;
    private boolean ended;

    JobRun(JobId id, JobContent content, int parts, long knownAtMs) {
        this.id = id;
        this.content = content;
        this.parts = parts;
        this.knownAtMs = knownAtMs;
        waiting.set(0, content.items().size());
    }

    JobId id() {
        return id;
    }

    JobContent content() {
        return content;
    }

    /** Returns in how many records the job lies in the store. */
    int parts() {
        return parts;
    }

    long knownAtMs() {
        return knownAtMs;
    }

    /** Takes over a result that lies in the store, at the next position. */
    void restore(JobRecords.StoredResult stored) {
        listed.add(stored.result());
        assignedPositions = listed.size();
        finished.set(stored.item());
        waiting.clear(stored.item());
        progress.remove(stored.item());
    }

    /** Takes the item that has come furthest of those that wait and may begin now, empty if there is none. */
    Optional<Integer> takeWaiting(long nowMs) {
        int best = -1;
        for (int item = waiting.nextSetBit(0); item >= 0; item = waiting.nextSetBit(item + 1)) {
            boolean further = best < 0 || progress(item).events > progress(best).events;
            if (progress(item).notBeforeMs <= nowMs && further) {
                best = item;
            }
        }
        if (best < 0) {
            return Optional.empty();
        }
        waiting.clear(best);
        return Optional.of(best);
    }

    /** Puts an item back that has not finished. */
    void giveBack(int item, long notBeforeMs) {
        if (!finished.get(item) && !ended) {
            waiting.set(item);
            progress(item).notBeforeMs = notBeforeMs;
        }
    }

    /** Returns how many items could begin now. */
    int waitingCount(long nowMs) {
        if (ended) {
            return 0;
        }
        return (int) waiting.stream()
                .filter(item -> progress(item).notBeforeMs <= nowMs)
                .count();
    }

    /** Returns how many items are not finished. */
    int remaining() {
        return ended ? 0 : content.items().size() - finished.cardinality();
    }

    List<Integer> unfinished() {
        List<Integer> items = new ArrayList<>();
        for (int item = finished.nextClearBit(0);
                item < content.items().size();
                item = finished.nextClearBit(item + 1)) {
            items.add(item);
        }
        return items;
    }

    boolean isFinished(int item) {
        return finished.get(item);
    }

    /** Marks an item as finished and returns the position that its result will have. */
    int finish(int item) {
        finished.set(item);
        waiting.clear(item);
        progress.remove(item);
        return assignedPositions++;
    }

    /** Lists a result whose record the store has acknowledged; results come in the order of their positions. */
    void list(ListedResult result) {
        listed.add(result);
    }

    List<ListedResult> listed() {
        return listed;
    }

    /** Returns the body of an item, empty if there is none of that id. */
    Optional<ByteString> body(String itemId) {
        return content.items().stream()
                .filter(item -> item.id().equals(itemId))
                .map(JobItem::body)
                .findFirst();
    }

    void end() {
        ended = true;
        waiting.clear();
    }

    boolean ended() {
        return ended;
    }

    /** Returns whether nothing is left to do. */
    boolean done() {
        return ended || listed.size() == content.items().size();
    }

    /** Returns the unfinished items that have come further than was saved, and takes them as saved. */
    List<Integer> takeUnsaved() {
        List<Integer> unsaved = new ArrayList<>();
        progress.forEach((item, come) -> {
            if (come.events > come.savedEvents) {
                come.savedEvents = come.events;
                unsaved.add(item);
            }
        });
        return unsaved;
    }

    ItemProgress progress(int item) {
        return progress.computeIfAbsent(item, index -> new ItemProgress());
    }

    /** How far an item has come in runs that broke off. */
    static final class ItemProgress {

        private int failures;
        private long events;
        private long savedEvents;
        private ByteString text = ByteString.EMPTY;
        private long notBeforeMs;

        /** Counts a run that the target ended with a failure of its own; returns how many there were. */
        int failed() {
            return ++failures;
        }

        long events() {
            return events;
        }

        ByteString text() {
            return text;
        }

        /** Takes over how far an earlier owner had come. */
        void restore(long knownEvents, ByteString knownText) {
            events = knownEvents;
            savedEvents = knownEvents;
            text = knownText;
        }

        /** Adds the events of a run that went on after those known. */
        ByteString add(int moreEvents, ByteString moreText) {
            if (moreEvents > 0) {
                text = events == 0
                        ? moreText
                        : text.concat(ByteString.copyFromUtf8("\n")).concat(moreText);
                events += moreEvents;
            }
            return text;
        }
    }
}

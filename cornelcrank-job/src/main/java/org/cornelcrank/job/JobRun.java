package org.cornelcrank.job;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.JobId;
import org.cornelcrank.routing.BatchDemand;

/**
 * A job at the owner of its partition: its waiting, running and finished items, and the list of results.
 *
 * <p>Invariants: an item is finished once; the result at a position never changes; positions have no gaps. Not
 * thread-safe: confined to the daemon's event loop.
 */
final class JobRun {

    private final JobId id;
    private final JobContent content;
    private final Set<String> partKeys;
    private final long loadedAtMs;
    private final List<ListedResult> listed = new ArrayList<>();
    private final Map<Integer, ItemProgress> progress = new TreeMap<>();
    private final BitSet waiting = new BitSet();
    private final BitSet finished = new BitSet();
    private Optional<BatchDemand> demand = Optional.empty();
    private long receivedAtMs;
    private int assignedPositions;
    private boolean ended;
    private boolean awaitsRoute;

    JobRun(JobId id, JobContent content, Collection<String> partKeys, long loadedAtMs) {
        this.id = id;
        this.content = content;
        this.partKeys = new TreeSet<>(partKeys);
        this.loadedAtMs = loadedAtMs;
        this.receivedAtMs = loadedAtMs;
        waiting.set(0, content.items().size());
    }

    JobId id() {
        return id;
    }

    JobContent content() {
        return content;
    }

    /** Returns the keys of the records that hold the job in the store, in each form in which daemons have stored it. */
    Set<String> partKeys() {
        return partKeys;
    }

    long loadedAtMs() {
        return loadedAtMs;
    }

    /** Returns the time in ms at which this daemon last received records of the job, each after its acceptance. */
    long receivedAtMs() {
        return receivedAtMs;
    }

    /** Records that a part was received once more, as a daemon has accepted the job again. */
    void receivedAgain(String partKey, long nowMs) {
        partKeys.add(partKey);
        receivedAtMs = nowMs;
    }

    /** Returns the demand that was last set for the job, empty if there is none. */
    Optional<BatchDemand> demand() {
        return demand;
    }

    void setDemand(Optional<BatchDemand> newDemand) {
        demand = newDemand;
    }

    /** Records whether the job waits for its route, and returns whether that has changed. */
    boolean setAwaitsRoute(boolean awaits) {
        boolean changed = awaits != awaitsRoute;
        awaitsRoute = awaits;
        return changed;
    }

    /** Restores a stored result at the next position. */
    void restore(JobRecords.StoredResult stored) {
        listed.add(stored.result());
        assignedPositions = listed.size();
        finished.set(stored.item());
        waiting.clear(stored.item());
        progress.remove(stored.item());
    }

    /**
     * Takes the waiting item that loses the least progress at a target, and among these the one with the most, empty if no
     * item may start now.
     */
    Optional<Integer> takeWaiting(Generator target, long nowMs) {
        int best = -1;
        for (int item = waiting.nextSetBit(0); item >= 0; item = waiting.nextSetBit(item + 1)) {
            boolean better =
                    best < 0 || progress(item).gain(target) > progress(best).gain(target);
            if (progress(item).notBeforeMs <= nowMs && better) {
                best = item;
            }
        }
        if (best < 0) {
            return Optional.empty();
        }
        waiting.clear(best);
        progress(best).begin(target);
        return Optional.of(best);
    }

    /** Lets an unfinished item wait for its next run, which may start at the given time. */
    void requeue(int item, long notBeforeMs) {
        if (!finished.get(item) && !ended) {
            waiting.set(item);
            progress(item).notBeforeMs = notBeforeMs;
        }
    }

    /** Returns how many items could start now. */
    int waitingCount(long nowMs) {
        if (ended) {
            return 0;
        }
        return (int) waiting.stream()
                .filter(item -> progress(item).notBeforeMs <= nowMs)
                .count();
    }

    /** Returns the number of unfinished items, zero if the job has been ended. */
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

    /** Marks an item as finished and returns the position of its result. */
    int finish(int item) {
        finished.set(item);
        waiting.clear(item);
        progress.remove(item);
        return assignedPositions++;
    }

    /** Lists a result that the store has acknowledged; must be called in the order of positions. */
    void list(ListedResult result) {
        listed.add(result);
    }

    List<ListedResult> listed() {
        return listed;
    }

    /** Returns the body of an item, empty if there is no item with the id. */
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

    /** Returns whether the job has been ended or all its results are listed. */
    boolean done() {
        return ended || listed.size() == content.items().size();
    }

    /** Returns the unfinished items with unsaved progress, and marks their progress as saved. */
    List<Integer> takeUnsaved() {
        List<Integer> unsaved = new ArrayList<>();
        progress.forEach((item, itemProgress) -> {
            if (itemProgress.events > itemProgress.savedEvents) {
                itemProgress.savedEvents = itemProgress.events;
                unsaved.add(item);
            }
        });
        return unsaved;
    }

    ItemProgress progress(int item) {
        return progress.computeIfAbsent(item, index -> new ItemProgress());
    }

    /** The progress that an item has made in interrupted runs. */
    static final class ItemProgress {

        private int failures;
        private int losses;
        private long events;
        private long savedEvents;
        private ByteString text = ByteString.EMPTY;
        private Optional<Generator> generator = Optional.empty();
        private long notBeforeMs;

        /** Counts a run that failed at the target, and returns the number of such runs. */
        int countFailure() {
            return ++failures;
        }

        /** Counts a run that lost its target, and returns the number of such runs. */
        int countLoss() {
            return ++losses;
        }

        long events() {
            return events;
        }

        ByteString text() {
            return text;
        }

        /** Returns what generated the events, empty if no run has begun or a former owner has not stored it. */
        Optional<Generator> generator() {
            return generator;
        }

        /** Returns the number of events that the target need not generate, negative if they are lost. */
        private long gain(Generator target) {
            return continuedBy(target) ? events : -events;
        }

        private boolean continuedBy(Generator target) {
            return generator.equals(Optional.of(target));
        }

        /** Starts a run; drops the events that the target cannot continue. */
        private void begin(Generator target) {
            if (!continuedBy(target)) {
                events = 0;
                savedEvents = 0;
                text = ByteString.EMPTY;
                generator = Optional.of(target);
            }
        }

        /** Restores the progress that a former owner has saved. */
        void restore(JobRecords.StoredProgress saved) {
            generator = saved.generator();
            events = saved.events();
            savedEvents = saved.events();
            text = saved.text();
        }

        /** Appends the events of a run that resumed after the events so far, and returns the text of all events. */
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

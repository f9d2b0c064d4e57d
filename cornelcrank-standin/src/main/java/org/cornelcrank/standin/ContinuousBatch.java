package org.cornelcrank.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Runs generations in a limited number of slots, in the order of their arrival.
 *
 * <p>Invariant: nothing waits while a slot is free. Times are in microseconds (us). Not thread-safe: confined to the
 * engine's worker.
 */
final class ContinuousBatch {

    private static final long US_PER_MS = 1000;

    private final int slots;
    private final ToLongFunction<Generation> startUs;
    private final OutputTime outputTime;
    private final Set<Generation> running = new LinkedHashSet<>();
    private final ArrayDeque<Generation> queue = new ArrayDeque<>();
    private long busySlotUs;
    private long countedAtUs;
    private long generatedTokens;

    /** Says how long one output token takes beside the others that run. */
    interface OutputTime {
        long tokenUs(int running);
    }

    /** Creates a batch; {@code startUs} tells of a generation that gets a slot, and says how long its prefill takes. */
    ContinuousBatch(int slots, ToLongFunction<Generation> startUs, OutputTime outputTime) {
        this.slots = slots;
        this.startUs = Objects.requireNonNull(startUs, "startUs must not be null");
        this.outputTime = Objects.requireNonNull(outputTime, "outputTime must not be null");
    }

    void submit(Generation generation, long nowUs) {
        queue.addLast(generation);
        admit(nowUs);
    }

    /** Takes a generation out, whether it runs or waits. */
    void remove(Generation generation, long nowUs) {
        count(nowUs);
        queue.remove(generation);
        running.remove(generation);
        admit(nowUs);
    }

    boolean holds(Generation generation) {
        return running.contains(generation) || queue.contains(generation);
    }

    /** Emits the tokens due by now and fills the freed slots. */
    void advance(long nowUs) {
        count(nowUs);
        for (Generation generation : new ArrayList<>(running)) {
            while (running.contains(generation) && generation.nextTokenAtUs() <= nowUs) {
                emit(generation);
            }
        }
        admit(nowUs);
    }

    /** Returns when the next token is due. */
    OptionalLong nextDueUs() {
        return running.stream().mapToLong(Generation::nextTokenAtUs).min();
    }

    int runningCount() {
        return running.size();
    }

    int queuedCount() {
        return queue.size();
    }

    long generatedTokens() {
        return generatedTokens;
    }

    /** Returns the time for which slots were taken, added up over the slots. */
    long busySlotMs(long nowUs) {
        count(nowUs);
        return busySlotUs / US_PER_MS;
    }

    List<Generation> clear(long nowUs) {
        count(nowUs);
        List<Generation> all = new ArrayList<>(running);
        all.addAll(queue);
        running.clear();
        queue.clear();
        return all;
    }

    private void emit(Generation generation) {
        generatedTokens++;
        generation.emitToken();
        if (generation.finished()) {
            running.remove(generation);
            return;
        }
        generation.nextTokenAt(generation.nextTokenAtUs() + outputTime.tokenUs(running.size()));
    }

    private void admit(long nowUs) {
        count(nowUs);
        while (running.size() < slots && !queue.isEmpty()) {
            Generation next = queue.removeFirst();
            running.add(next);
            long prefillUs = startUs.applyAsLong(next);
            next.nextTokenAt(nowUs + prefillUs + outputTime.tokenUs(running.size()));
        }
    }

    private void count(long nowUs) {
        busySlotUs += running.size() * Math.max(0, nowUs - countedAtUs);
        countedAtUs = nowUs;
    }
}

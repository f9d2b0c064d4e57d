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
 * Runs generations in a limited number of slots, in order of arrival.
 *
 * <p>Invariant: no generation waits while a slot is free. Times are in microseconds (us). Not thread-safe: confined to
 * the engine's worker.
 */
final class ContinuousBatch {

    private static final long US_PER_MS = 1000;

    private final int slots;
    private final ToLongFunction<Generation> prefillTime;
    private final OutputTime outputTime;
    private final Set<Generation> running = new LinkedHashSet<>();
    private final ArrayDeque<Generation> queue = new ArrayDeque<>();
    private long busySlotUs;
    private long recordedUntilUs;
    private long generatedTokens;

    /** Computes the time for one output token, given the number of running generations. */
    interface OutputTime {
        long tokenUs(int running);
    }

    /**
     * Creates a batch; {@code prefillTime} is called when a generation gets a slot, and returns its prefill time in us.
     */
    ContinuousBatch(int slots, ToLongFunction<Generation> prefillTime, OutputTime outputTime) {
        this.slots = slots;
        this.prefillTime = Objects.requireNonNull(prefillTime, "prefillTime must not be null");
        this.outputTime = Objects.requireNonNull(outputTime, "outputTime must not be null");
    }

    void submit(Generation generation, long nowUs) {
        queue.addLast(generation);
        fillSlots(nowUs);
    }

    /** Removes a running or waiting generation. */
    void remove(Generation generation, long nowUs) {
        recordBusyTime(nowUs);
        queue.remove(generation);
        running.remove(generation);
        fillSlots(nowUs);
    }

    boolean contains(Generation generation) {
        return running.contains(generation) || queue.contains(generation);
    }

    /** Emits the tokens that are due and fills the freed slots. */
    void advance(long nowUs) {
        recordBusyTime(nowUs);
        for (Generation generation : new ArrayList<>(running)) {
            while (running.contains(generation) && generation.nextTokenAtUs() <= nowUs) {
                emit(generation);
            }
        }
        fillSlots(nowUs);
    }

    /** Returns the time at which the next token is due. */
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

    /** Returns the total busy time of all slots. */
    long busySlotMs(long nowUs) {
        recordBusyTime(nowUs);
        return busySlotUs / US_PER_MS;
    }

    List<Generation> clear(long nowUs) {
        recordBusyTime(nowUs);
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
        generation.setNextTokenAt(generation.nextTokenAtUs() + outputTime.tokenUs(running.size()));
    }

    private void fillSlots(long nowUs) {
        recordBusyTime(nowUs);
        while (running.size() < slots && !queue.isEmpty()) {
            Generation next = queue.removeFirst();
            running.add(next);
            long prefillUs = prefillTime.applyAsLong(next);
            next.setNextTokenAt(nowUs + prefillUs + outputTime.tokenUs(running.size()));
        }
    }

    private void recordBusyTime(long nowUs) {
        busySlotUs += running.size() * Math.max(0, nowUs - recordedUntilUs);
        recordedUntilUs = nowUs;
    }
}

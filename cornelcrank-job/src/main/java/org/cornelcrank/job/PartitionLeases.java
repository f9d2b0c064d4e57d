package org.cornelcrank.job;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.core.TimerKey;
import org.cornelcrank.store.StoreCalls;

/**
 * Holds this daemon's part of the partitions in the store's group of owners.
 *
 * <p>What is held is only a hint on who should own a partition; the epoch of its results decides. After a failed call what
 * was held stays held, as a lost partition shows by its epoch. Not thread-safe: confined to the daemon's event loop.
 */
final class PartitionLeases {

    private static final String GROUP = "job-owners";

    private final String member;
    private final TimerKey timer;
    private final JobSettings settings;
    private final StoreCalls store;
    private final Listener listener;
    private Set<Integer> held = new TreeSet<>();
    private long generation;
    private long seenGeneration;
    private boolean asking;
    private boolean left;

    PartitionLeases(String member, TimerKey timer, JobSettings settings, StoreCalls store, Listener listener) {
        this.member = Objects.requireNonNull(member, "member must not be null");
        this.timer = Objects.requireNonNull(timer, "timer must not be null");
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.store = Objects.requireNonNull(store, "store must not be null");
        this.listener = Objects.requireNonNull(listener, "listener must not be null");
    }

    /** Joins the group or stays in it; called at the start and when the timer is due. */
    void renew(long nowMs, Effects out) {
        if (left) {
            return;
        }
        out.schedule(timer, nowMs + settings.renewIntervalMs());
        if (!asking) {
            join(out);
        }
    }

    private void join(Effects out) {
        asking = true;
        store.call(
                new StoreRequest.Join(GROUP, member, List.of(JobRecords.JOBS), settings.leaseMs(), generation),
                (answer, nowMs, effects) -> {
                    asking = false;
                    if (answer instanceof StoreResponse.Joined joined && !left) {
                        joined(joined, nowMs, effects);
                    }
                },
                out);
    }

    /** Takes over what is held; others get what is not held any longer once {@link #acknowledge} has been called. */
    private void joined(StoreResponse.Joined joined, long nowMs, Effects out) {
        seenGeneration = joined.generation();
        Set<Integer> now = new TreeSet<>();
        joined.partitions().stream()
                .filter(place -> place.topic().equals(JobRecords.JOBS))
                .forEach(place -> now.add(place.partition()));
        held = now;
        listener.renewed(Set.copyOf(now), nowMs, out);
    }

    /** Tells the store that all partitions that are not held any longer have been given up. */
    void acknowledge(Effects out) {
        if (generation != seenGeneration && !asking && !left) {
            generation = seenGeneration;
            join(out);
        }
    }

    /** Leaves the group, so that others get the partitions at once. */
    void leave(Effects out) {
        left = true;
        held = Set.of();
        store.call(
                new StoreRequest.Leave(GROUP, member),
                (answer, nowMs, effects) -> {
                    if (!(answer instanceof StoreResponse.Done)) {
                        String text = "the group of owners learns of the leaving only by the lease's end: " + answer;
                        effects.add(new Effect.StateChanged(JobStateMachine.NAME, text));
                    }
                },
                out);
    }

    boolean holds(int partition) {
        return held.contains(partition);
    }

    long generation() {
        return generation;
    }

    /** Is told with each renewal of the partitions that this daemon holds now. */
    interface Listener {
        void renewed(Set<Integer> partitions, long nowMs, Effects out);
    }
}

package org.cornelcrank.job;

import java.util.Collections;
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
 * Renews this daemon's membership in the store's group of owners, and tracks the partitions assigned to it.
 *
 * <p>An assignment is only a hint on who should own a partition; the epoch of its results decides. Assignments are kept
 * after a failed call, because the epoch reveals a partition that has been lost. Not thread-safe: confined to the
 * daemon's event loop.
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
    private long receivedGeneration;
    private boolean joining;
    private boolean left;

    PartitionLeases(String member, TimerKey timer, JobSettings settings, StoreCalls store, Listener listener) {
        this.member = Objects.requireNonNull(member, "member must not be null");
        this.timer = Objects.requireNonNull(timer, "timer must not be null");
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.store = Objects.requireNonNull(store, "store must not be null");
        this.listener = Objects.requireNonNull(listener, "listener must not be null");
    }

    /** Joins the group or renews the membership; called at the start and when the timer is due. */
    void renew(long nowMs, Effects out) {
        if (left) {
            return;
        }
        out.schedule(timer, nowMs + settings.renewIntervalMs());
        if (!joining) {
            join(nowMs, out);
        }
    }

    /**
     * Joins the group. A response that is handled after the lease it grants may have ended is ignored, as others may
     * own the partitions by then: the daemon may have been suspended in between.
     */
    private void join(long sentAtMs, Effects out) {
        joining = true;
        store.call(
                new StoreRequest.Join(GROUP, member, List.of(JobRecords.JOBS), settings.leaseMs(), generation),
                (response, nowMs, effects) -> {
                    joining = false;
                    boolean leased = nowMs < sentAtMs + settings.leaseMs();
                    if (response instanceof StoreResponse.Joined joined && leased && !left) {
                        joined(joined, nowMs, effects);
                    }
                },
                out);
    }

    /** Applies an assignment; other members get the partitions that it takes away only after {@link #acknowledge}. */
    private void joined(StoreResponse.Joined joined, long nowMs, Effects out) {
        receivedGeneration = joined.generation();
        Set<Integer> assigned = new TreeSet<>();
        joined.partitions().stream()
                .filter(partition -> partition.topic().equals(JobRecords.JOBS))
                .forEach(partition -> assigned.add(partition.partition()));
        held = assigned;
        listener.renewed(Collections.unmodifiableSet(new TreeSet<>(assigned)), nowMs, out);
    }

    /** Confirms to the store that all partitions that are no longer assigned to this daemon have been released. */
    void acknowledge(long nowMs, Effects out) {
        if (generation != receivedGeneration && !joining && !left) {
            generation = receivedGeneration;
            join(nowMs, out);
        }
    }

    /** Leaves the group, so that its other members get the partitions at once. */
    void leave(Effects out) {
        left = true;
        held = Set.of();
        store.call(
                new StoreRequest.Leave(GROUP, member),
                (response, nowMs, effects) -> {
                    if (!(response instanceof StoreResponse.Done)) {
                        String text = "leaving the group is not confirmed; its lease has to expire: " + response;
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

    /** Is notified at each renewal of the partitions that are assigned to this daemon. */
    interface Listener {
        void renewed(Set<Integer> partitions, long nowMs, Effects out);
    }
}

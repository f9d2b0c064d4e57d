package org.cornelcrank.routing;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;

/**
 * Holds the batch demand that a controller has received, and chooses the job that gets an idle slot.
 *
 * <p>The slot goes to the team with the lowest usage relative to its share, where the share of a team whose job may
 * miss its deadline counts up to {@link #MAX_PRESSURE} times. Among teams with equal usage, the slot goes to the one
 * that has been served least, and within a team to the job with the earliest deadline. Jobs that can no longer meet
 * their deadline come last. Not thread-safe: confined to the daemon's event loop.
 */
final class BatchDemandQueue {

    private static final double MAX_PRESSURE = 2;

    /**
     * The part of an item's mean duration that must remain before the deadline for the job to count as still in time.
     */
    private static final double LATE_SHARE = 0.5;

    private final long lifetimeMs;
    private final Map<JobId, StandingDemand> demands = new TreeMap<>();
    private final Map<String, Double> servedByTeam = new TreeMap<>();

    BatchDemandQueue(long lifetimeMs) {
        this.lifetimeMs = lifetimeMs;
    }

    void advertised(HostId holder, RoutingMessage.BatchDemandAdvertised advertised, long nowMs) {
        if (advertised.runnable() <= 0) {
            demands.remove(advertised.job());
            return;
        }
        demands.put(advertised.job(), new StandingDemand(holder, advertised, nowMs, nowMs + lifetimeMs));
    }

    /** Updates how many items a job could start, as stated in a release of one of its permits. */
    void runnableChanged(JobId job, int runnable) {
        StandingDemand demand = demands.get(job);
        if (demand != null) {
            demand.runnable = runnable;
        }
    }

    void holderLost(HostId holder) {
        demands.values().removeIf(demand -> demand.holder.equals(holder));
    }

    void expire(long nowMs) {
        demands.values().removeIf(demand -> nowMs >= demand.expiresAtMs);
        servedByTeam.keySet().removeIf(team -> demands.values().stream()
                .noneMatch(demand -> demand.team().equals(team)));
    }

    /** Chooses the job for one idle slot of the target and counts it as served. */
    Optional<StandingDemand> take(TargetState target, Collection<HeldPermit> running, double itemMs, long nowMs) {
        Map<String, Integer> runningByTeam = runningByTeam(running);
        StandingDemand best = null;
        for (StandingDemand demand : demands.values()) {
            if (demand.runnable <= 0 || !target.offers(demand.advertised.service())) {
                continue;
            }
            demand.weight = Math.max(1, demand.advertised.share()) * demand.pressure(itemMs, nowMs);
            demand.usage = runningByTeam.getOrDefault(demand.team(), 0) / demand.weight;
            demand.late = nowMs + LATE_SHARE * itemMs > demand.dueAtMs();
            if (best == null || precedes(demand, best)) {
                best = demand;
            }
        }
        if (best != null) {
            best.runnable--;
            recordServed(best);
        }
        return Optional.ofNullable(best);
    }

    private boolean precedes(StandingDemand demand, StandingDemand other) {
        if (demand.late != other.late) {
            return other.late;
        }
        if (demand.usage != other.usage) {
            return demand.usage < other.usage;
        }
        double served = servedByTeam.getOrDefault(demand.team(), 0.0);
        double otherServed = servedByTeam.getOrDefault(other.team(), 0.0);
        return served != otherServed ? served < otherServed : demand.dueAtMs() < other.dueAtMs();
    }

    /** Counts a grant for its team; a new team starts level with the least served one. */
    private void recordServed(StandingDemand demand) {
        double least = servedByTeam.values().stream()
                .mapToDouble(Double::doubleValue)
                .min()
                .orElse(0);
        servedByTeam.putIfAbsent(demand.team(), least);
        servedByTeam.merge(demand.team(), 1 / demand.weight, Double::sum);
    }

    private static Map<String, Integer> runningByTeam(Collection<HeldPermit> running) {
        Map<String, Integer> counts = new TreeMap<>();
        for (HeldPermit permit : running) {
            permit.owner().ifPresent(owner -> counts.merge(owner.team().team(), 1, Integer::sum));
        }
        return counts;
    }

    Collection<StandingDemand> all() {
        return demands.values();
    }

    /** Returns whether no job could use a slot. */
    boolean isEmpty() {
        return demands.values().stream().allMatch(demand -> demand.runnable <= 0);
    }

    /** One job's demand as its owner advertised it last, less the permits granted since. */
    static final class StandingDemand {

        private final HostId holder;
        private final RoutingMessage.BatchDemandAdvertised advertised;
        private final long receivedAtMs;
        private final long expiresAtMs;
        private int runnable;
        private double weight = 1;
        private double usage;
        private boolean late;

        StandingDemand(
                HostId holder, RoutingMessage.BatchDemandAdvertised advertised, long receivedAtMs, long expiresAtMs) {
            this.holder = holder;
            this.advertised = advertised;
            this.receivedAtMs = receivedAtMs;
            this.expiresAtMs = expiresAtMs;
            this.runnable = advertised.runnable();
        }

        HostId holder() {
            return holder;
        }

        RoutingMessage.BatchDemandAdvertised advertised() {
            return advertised;
        }

        int runnable() {
            return runnable;
        }

        String team() {
            return advertised.team().team();
        }

        long dueAtMs() {
            return receivedAtMs + advertised.dueInMs();
        }

        /**
         * Returns 1 while one slot here is enough to meet the deadline, else the number of slots that the job needs
         * here, up to {@link #MAX_PRESSURE}.
         */
        double pressure(double itemMs, long nowMs) {
            double leftMs = Math.max(1, dueAtMs() - nowMs);
            double neededSlots = advertised.remaining() * itemMs / leftMs / Math.max(1, advertised.controllers());
            return Math.max(1, Math.min(MAX_PRESSURE, neededSlots));
        }
    }
}

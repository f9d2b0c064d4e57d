package org.cornelcrank.routing;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;

/**
 * A controller's record of which jobs could use an idle slot, and its choice among them.
 *
 * <p>The slot goes to the team with the smallest use for its share, where a team whose job is in danger of missing its
 * deadline counts for up to {@link #MAX_PRESSURE} times its share; within the team to the earliest deadline. Not
 * thread-safe: confined to the daemon's event loop.
 */
final class BatchDemandBook {

    private static final double MAX_PRESSURE = 4;

    private final long lifetimeMs;
    private final Map<JobId, StandingDemand> demands = new TreeMap<>();

    BatchDemandBook(long lifetimeMs) {
        this.lifetimeMs = lifetimeMs;
    }

    void stated(HostId holder, RoutingMessage.BatchDemandStated stated, long nowMs) {
        if (stated.wanted() <= 0) {
            demands.remove(stated.job());
            return;
        }
        demands.put(stated.job(), new StandingDemand(holder, stated, nowMs, nowMs + lifetimeMs));
    }

    /** Takes over what a job could start now, as told with a permit that came back. */
    void wanted(JobId job, int wanted) {
        StandingDemand demand = demands.get(job);
        if (demand != null) {
            demand.wanted = wanted;
        }
    }

    void holderLost(HostId holder) {
        demands.values().removeIf(demand -> demand.holder.equals(holder));
    }

    void expire(long nowMs) {
        demands.values().removeIf(demand -> nowMs >= demand.expiresAtMs);
    }

    /** Chooses the job for one idle slot of the target and counts it as served. */
    Optional<StandingDemand> take(TargetState target, Collection<HeldPermit> running, double itemMs, long nowMs) {
        Map<String, Integer> runningByTeam = runningByTeam(running);
        StandingDemand best = null;
        double bestUse = 0;
        for (StandingDemand demand : demands.values()) {
            if (demand.wanted <= 0 || !target.offers(demand.stated.service())) {
                continue;
            }
            int teamRunning = runningByTeam.getOrDefault(demand.stated.team().team(), 0);
            double use = teamRunning / (Math.max(1, demand.stated.share()) * demand.pressure(itemMs, nowMs));
            if (best == null || use < bestUse || use == bestUse && demand.dueAtMs() < best.dueAtMs()) {
                best = demand;
                bestUse = use;
            }
        }
        if (best != null) {
            best.wanted--;
        }
        return Optional.ofNullable(best);
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

    /** Returns whether there is anything to grant. */
    boolean isEmpty() {
        return demands.values().stream().allMatch(demand -> demand.wanted <= 0);
    }

    /** One job's demand as its owner stated it last, less what was granted since. */
    static final class StandingDemand {

        private final HostId holder;
        private final RoutingMessage.BatchDemandStated stated;
        private final long statedAtMs;
        private final long expiresAtMs;
        private int wanted;

        StandingDemand(HostId holder, RoutingMessage.BatchDemandStated stated, long statedAtMs, long expiresAtMs) {
            this.holder = holder;
            this.stated = stated;
            this.statedAtMs = statedAtMs;
            this.expiresAtMs = expiresAtMs;
            this.wanted = stated.wanted();
        }

        HostId holder() {
            return holder;
        }

        RoutingMessage.BatchDemandStated stated() {
            return stated;
        }

        int wanted() {
            return wanted;
        }

        long dueAtMs() {
            return statedAtMs + stated.dueInMs();
        }

        /** Returns 1 while there is time, and more the more slots the job needs here to end in time. */
        double pressure(double itemMs, long nowMs) {
            double leftMs = Math.max(1, dueAtMs() - nowMs);
            double neededSlots = stated.remaining() * itemMs / leftMs / Math.max(1, stated.controllers());
            return Math.max(1, Math.min(MAX_PRESSURE, neededSlots));
        }
    }
}

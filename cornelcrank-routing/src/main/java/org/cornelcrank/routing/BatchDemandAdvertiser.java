package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.JobId;
import org.cornelcrank.core.Location;
import org.cornelcrank.core.RendezvousHash;

/**
 * States the demand of this daemon's jobs to the controllers of targets that can serve them.
 *
 * <p>A job tells as many controllers as have twice the slots that it could use, near ones first, and tells them again
 * only when its wish changes much or the statement would lapse. Not thread-safe: confined to the daemon's event loop.
 */
final class BatchDemandAdvertiser {

    /** How long a small change of a job's wish may stay untold, in ms: short against the length of an idle spell. */
    private static final long RESTATE_MS = 100;

    private static final int MIN_CONTROLLERS = 4;
    private static final int SLOTS_FACTOR = 2;

    private final RoutingContext context;
    private final Map<JobId, Told> jobs = new TreeMap<>();

    BatchDemandAdvertiser(RoutingContext context) {
        this.context = context;
    }

    void setDemand(BatchDemand demand, long nowMs, Effects out) {
        Told told = jobs.computeIfAbsent(demand.job(), job -> new Told());
        int before = told.statedWanted;
        told.demand = demand;
        told.open = demand.runnable();
        boolean changedMuch = demand.runnable() >= 2 * before || 2 * demand.runnable() <= before;
        boolean due = nowMs - told.statedAtMs >= RESTATE_MS;
        if (demand.runnable() != before && (changedMuch || due)) {
            state(told, nowMs, out);
        }
        if (demand.runnable() == 0 && demand.remaining() == 0) {
            jobs.remove(demand.job());
        }
    }

    /** States all demand again, before it lapses and after controllers have changed. */
    void refresh(long nowMs, Effects out) {
        for (Told told : jobs.values()) {
            if (told.open > 0 || told.statedWanted > 0) {
                state(told, nowMs, out);
            }
        }
    }

    private void state(Told told, long nowMs, Effects out) {
        Set<HostId> receivers = told.open > 0 ? controllersFor(told.demand, nowMs) : Set.of();
        Set<HostId> withdrawn = new TreeSet<>(told.receivers);
        withdrawn.removeAll(receivers);
        withdrawn.forEach(host -> send(host, told.demand, 0, 0, nowMs, out));
        receivers.forEach(host -> send(host, told.demand, told.open, receivers.size(), nowMs, out));
        told.statedAtMs = nowMs;
        told.receivers = receivers;
        told.statedWanted = told.open;
    }

    private void send(HostId to, BatchDemand demand, int wanted, int controllers, long nowMs, Effects out) {
        RoutingMessage.BatchDemandAdvertised stated = new RoutingMessage.BatchDemandAdvertised(
                demand.job(),
                demand.team(),
                demand.service(),
                demand.deadlineAtMs() - nowMs,
                demand.share(),
                wanted,
                demand.remaining(),
                controllers);
        context.peers().send(to, stated, out);
    }

    private Set<HostId> controllersFor(BatchDemand demand, long nowMs) {
        Set<HostId> receivers = new TreeSet<>();
        int slots = 0;
        for (TargetState target : nearFirst(demand, nowMs)) {
            Optional<HostId> controller = context.controllers().controllerOf(target);
            if (controller.isPresent()) {
                receivers.add(controller.get());
                slots += target.slots(context.routing().permits().unreportedSlots());
            }
            if (receivers.size() >= MIN_CONTROLLERS && slots >= SLOTS_FACTOR * demand.runnable()) {
                break;
            }
        }
        return receivers;
    }

    private List<TargetState> nearFirst(BatchDemand demand, long nowMs) {
        List<TargetState> ranked = new ArrayList<>();
        for (Location.Distance distance : Location.Distance.values()) {
            boolean farButNeedless = distance == Location.Distance.OTHER_REGION && !ranked.isEmpty();
            if (!farButNeedless) {
                List<TargetState> near = context.directory().all().stream()
                        .filter(target -> target.offers(demand.service()))
                        .filter(target -> !context.directory().leaving(target, nowMs))
                        .filter(target -> context.identity().location().distanceTo(target.location()) == distance)
                        .toList();
                ranked.addAll(RendezvousHash.rank(
                        demand.job().value(), near, target -> target.id().value()));
            }
        }
        return ranked;
    }

    /** Counts a grant against the job's wish; false if nothing is left to run, so that the permit goes back. */
    boolean takeGrant(JobId job) {
        Told told = jobs.get(job);
        if (told == null || told.open <= 0) {
            return false;
        }
        told.open--;
        return true;
    }

    /** Returns what the job could start now beyond the grants on hand. */
    int wanted(JobId job) {
        Told told = jobs.get(job);
        return told == null ? 0 : told.open;
    }

    Optional<BatchDemand> demand(JobId job) {
        return Optional.ofNullable(jobs.get(job)).map(told -> told.demand);
    }

    /** Returns the demand in force, by job. */
    List<BatchDemand> demands() {
        return jobs.values().stream().map(told -> told.demand).toList();
    }

    private static final class Told {

        private BatchDemand demand;
        private Set<HostId> receivers = Set.of();
        private int statedWanted;
        private long statedAtMs;
        private int open;
    }
}

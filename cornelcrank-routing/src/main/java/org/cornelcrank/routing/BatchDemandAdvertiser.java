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
 * Advertises the demand of this daemon's jobs to the controllers of targets that can serve them.
 *
 * <p>A job's demand is sent to the nearest controllers whose targets together have twice the slots that the job could
 * use. It is advertised again only when it has changed a lot, or before it expires. Not thread-safe: confined to the
 * daemon's event loop.
 */
final class BatchDemandAdvertiser {

    /**
     * The minimum interval in ms between advertisements of small changes: short compared with the time that a slot
     * stays idle.
     */
    private static final long SMALL_CHANGE_INTERVAL_MS = 100;

    private static final int MIN_CONTROLLERS = 4;
    private static final int SLOTS_FACTOR = 2;

    private final RoutingContext context;
    private final Map<JobId, AdvertisedDemand> jobs = new TreeMap<>();

    BatchDemandAdvertiser(RoutingContext context) {
        this.context = context;
    }

    void setDemand(BatchDemand demand, long nowMs, Effects out) {
        AdvertisedDemand advertised = jobs.computeIfAbsent(demand.job(), job -> new AdvertisedDemand());
        int before = advertised.advertisedRunnable;
        advertised.demand = demand;
        advertised.ungranted = demand.runnable();
        boolean changedMuch = demand.runnable() >= 2 * before || 2 * demand.runnable() <= before;
        boolean due = nowMs - advertised.advertisedAtMs >= SMALL_CHANGE_INTERVAL_MS;
        if (demand.runnable() != before && (changedMuch || due)) {
            advertise(advertised, nowMs, out);
        }
        if (demand.runnable() == 0 && demand.remaining() == 0) {
            jobs.remove(demand.job());
        }
    }

    /** Advertises all demand again, before it expires and after controllers have changed. */
    void refresh(long nowMs, Effects out) {
        for (AdvertisedDemand job : jobs.values()) {
            if (job.ungranted > 0 || job.advertisedRunnable > 0) {
                advertise(job, nowMs, out);
            }
        }
    }

    private void advertise(AdvertisedDemand job, long nowMs, Effects out) {
        Set<HostId> receivers = job.ungranted > 0 ? controllersFor(job.demand, nowMs) : Set.of();
        Set<HostId> withdrawn = new TreeSet<>(job.receivers);
        withdrawn.removeAll(receivers);
        withdrawn.forEach(host -> send(host, job.demand, 0, 0, nowMs, out));
        receivers.forEach(host -> send(host, job.demand, job.ungranted, receivers.size(), nowMs, out));
        job.advertisedAtMs = nowMs;
        job.receivers = receivers;
        job.advertisedRunnable = job.ungranted;
    }

    private void send(HostId to, BatchDemand demand, int runnable, int controllers, long nowMs, Effects out) {
        RoutingMessage.BatchDemandAdvertised advertised = new RoutingMessage.BatchDemandAdvertised(
                demand.job(),
                demand.team(),
                demand.service(),
                demand.deadlineAtMs() - nowMs,
                demand.share(),
                runnable,
                demand.remaining(),
                controllers);
        context.peers().send(to, advertised, out);
    }

    private Set<HostId> controllersFor(BatchDemand demand, long nowMs) {
        Set<HostId> receivers = new TreeSet<>();
        int slots = 0;
        for (TargetState target : rankByDistance(demand, nowMs)) {
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

    private List<TargetState> rankByDistance(BatchDemand demand, long nowMs) {
        List<TargetState> ranked = new ArrayList<>();
        for (Location.Distance distance : Location.Distance.values()) {
            boolean farAndUnnecessary = distance == Location.Distance.OTHER_REGION && !ranked.isEmpty();
            if (!farAndUnnecessary) {
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

    /**
     * Counts a grant against the job's demand; returns false if no item is left for it, so that the permit must be
     * released.
     */
    boolean acceptGrant(JobId job) {
        AdvertisedDemand advertised = jobs.get(job);
        if (advertised == null || advertised.ungranted <= 0) {
            return false;
        }
        advertised.ungranted--;
        return true;
    }

    /** Returns how many items the job could start beyond those that it has permits for. */
    int runnable(JobId job) {
        AdvertisedDemand advertised = jobs.get(job);
        return advertised == null ? 0 : advertised.ungranted;
    }

    Optional<BatchDemand> demand(JobId job) {
        return Optional.ofNullable(jobs.get(job)).map(advertised -> advertised.demand);
    }

    /** Returns the current demand of all jobs, ordered by job. */
    List<BatchDemand> demands() {
        return jobs.values().stream().map(advertised -> advertised.demand).toList();
    }

    private static final class AdvertisedDemand {

        private BatchDemand demand;
        private Set<HostId> receivers = Set.of();
        private int advertisedRunnable;
        private long advertisedAtMs;
        private int ungranted;
    }
}

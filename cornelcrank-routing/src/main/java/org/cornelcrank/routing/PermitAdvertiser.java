package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetId;

/**
 * Advertises this daemon's running permits to the controllers: periodically, so that a slot whose release was lost
 * becomes free eventually, and at once to a new controller.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class PermitAdvertiser {

    private final RoutingContext context;
    private final OnlineRouter online;
    private final BatchRunner batch;
    private final Map<TargetId, HostId> advertisedTo = new TreeMap<>();

    PermitAdvertiser(RoutingContext context, OnlineRouter online, BatchRunner batch) {
        this.context = context;
        this.online = online;
        this.batch = batch;
    }

    /**
     * Advertises all running permits, also to the controllers of targets for which permits were only requested or
     * released since the last time.
     */
    void advertiseAll(long nowMs, Effects out) {
        Map<TargetId, List<RoutingMessage.RunningPermit>> running = running(nowMs);
        context.peers().takeTouched().forEach(target -> running.computeIfAbsent(target, id -> new ArrayList<>()));
        advertisedTo.clear();
        running.forEach((target, permits) -> advertise(target, permits, out));
    }

    /** Advertises the running permits of targets whose controller has changed. */
    void advertiseToNewControllers(long nowMs, Effects out) {
        running(nowMs).forEach((target, permits) -> {
            Optional<HostId> controller = controllerOf(target);
            if (controller.isPresent() && !controller.get().equals(advertisedTo.get(target))) {
                advertise(target, permits, out);
            }
        });
    }

    private void advertise(TargetId target, List<RoutingMessage.RunningPermit> permits, Effects out) {
        Optional<HostId> controller = controllerOf(target);
        if (controller.isEmpty()) {
            return;
        }
        context.peers().send(controller.get(), new RoutingMessage.RunningPermits(target, permits), out);
        if (!permits.isEmpty()) {
            advertisedTo.put(target, controller.get());
        }
    }

    private Optional<HostId> controllerOf(TargetId target) {
        return context.directory().find(target).flatMap(context.controllers()::controllerOf);
    }

    private Map<TargetId, List<RoutingMessage.RunningPermit>> running(long nowMs) {
        Map<TargetId, List<RoutingMessage.RunningPermit>> running = new TreeMap<>();
        for (Route route : online.running()) {
            running.computeIfAbsent(route.target.id(), id -> new ArrayList<>())
                    .add(new RoutingMessage.RunningPermit(
                            route.attempt,
                            route.request.service(),
                            route.request.urgency(),
                            nowMs - route.dispatchedAtMs,
                            route.suspect,
                            Optional.empty()));
        }
        for (BatchRun run : batch.running()) {
            running.computeIfAbsent(run.target().id(), id -> new ArrayList<>()).add(run.runningPermit(nowMs));
        }
        return running;
    }
}

package org.cornelcrank.routing;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetId;

/**
 * Requests permits for online requests from the targets' controllers, and releases them.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class PermitRequests {

    private static final int OTHER_REGION_TIMEOUT_FACTOR = 12;

    /** The assumed time in ms from dispatch to the start of a target's response, until it has been measured. */
    private static final long DEFAULT_START_LATENCY_MS = 25;

    private final RoutingContext context;

    PermitRequests(RoutingContext context) {
        this.context = context;
    }

    /** Requests a permit from the request's current controller. Idempotent for an attempt. */
    void request(Route route, long nowMs, Effects out) {
        request(route, new HedgedPermitRequest(route.attempt, route.target, route.controller), nowMs, out);
    }

    /** Requests a permit from a further controller for the same request. */
    void request(Route route, HedgedPermitRequest hedge, long nowMs, Effects out) {
        RoutingMessage.PermitRequested message = new RoutingMessage.PermitRequested(
                hedge.attempt(),
                hedge.target().id(),
                route.request.service(),
                route.request.urgency(),
                route.request.deadlineAtMs() - nowMs,
                startWithinMs(route, hedge.target(), nowMs),
                route.suspect);
        context.peers().send(hedge.controller(), message, out);
    }

    private static long startWithinMs(Route route, TargetState target, long nowMs) {
        long objectiveMs = route.request.options().objectiveMs();
        if (objectiveMs == 0 || route.bytesReachedCaller) {
            return RoutingMessage.PermitRequested.NO_OBJECTIVE;
        }
        double startMs = target.health().startLatencyMs();
        return route.arrivedAtMs + objectiveMs - (long) (startMs > 0 ? startMs : DEFAULT_START_LATENCY_MS) - nowMs;
    }

    /** Returns how long to wait for any reply of the controller, in ms: longer each time the controllers are asked again. */
    long replyTimeoutMs(Route route) {
        long patienceMs = context.routing().permits().patienceMs();
        int factor = context.isInOtherRegion(route.target) ? OTHER_REGION_TIMEOUT_FACTOR : 1;
        return patienceMs * Math.max(factor, 1 << route.repeatedAsks);
    }

    /** Releases a permit, or withdraws the request for it. */
    void release(Route route, AttemptId attempt, RoutingMessage.Use use, Effects out) {
        if (route.controller != null) {
            send(route.controller, attempt, route.target.id(), use, out);
        }
    }

    /** Releases a permit that no request needs any longer. */
    void releaseUnused(HostId controller, AttemptId attempt, TargetId target, Effects out) {
        send(controller, attempt, target, RoutingMessage.Use.UNUSED, out);
    }

    private void send(HostId controller, AttemptId attempt, TargetId target, RoutingMessage.Use use, Effects out) {
        context.peers().send(controller, new RoutingMessage.PermitReleased(attempt, target, use, 0), out);
    }
}

package org.cornelcrank.routing;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetId;

/**
 * Asks controllers for permits of online requests, and gives permits back.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class PermitRequests {

    private static final int OTHER_REGION_TIMEOUT_FACTOR = 12;

    /** How long a target takes to begin its answer while that is not known, in ms. */
    private static final long DEFAULT_START_LATENCY_MS = 25;

    private final RoutingContext context;

    PermitRequests(RoutingContext context) {
        this.context = context;
    }

    /** Asks the request's controller; asking again for the same attempt changes nothing. */
    void request(Route route, long nowMs, Effects out) {
        request(route, new HedgedPermitRequest(route.attempt, route.target, route.controller), nowMs, out);
    }

    /** Asks another controller for the same request. */
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

    /** Returns how long the request waits for any word of the controller. */
    long replyTimeoutMs(Route route) {
        return context.routing().permits().patienceMs()
                * (context.isInOtherRegion(route.target) ? OTHER_REGION_TIMEOUT_FACTOR : 1);
    }

    /** Gives a permit back, or withdraws the wish for it. */
    void release(Route route, AttemptId attempt, RoutingMessage.Use use, Effects out) {
        if (route.controller != null) {
            send(route.controller, attempt, route.target.id(), use, out);
        }
    }

    /** Gives a permit back that no request needs any longer. */
    void releaseUnused(HostId controller, AttemptId attempt, TargetId target, Effects out) {
        send(controller, attempt, target, RoutingMessage.Use.UNUSED, out);
    }

    private void send(HostId controller, AttemptId attempt, TargetId target, RoutingMessage.Use use, Effects out) {
        context.peers().send(controller, new RoutingMessage.PermitReleased(attempt, target, use, 0), out);
    }
}

package org.cornelcrank.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;

/**
 * Hedges a waiting request: queues it at further targets, so that it runs in the first slot that becomes free at any of
 * them.
 *
 * <p>Invariant: a hedged request is indexed by its attempt until it is removed or withdrawn. Not thread-safe: confined
 * to the daemon's event loop.
 */
final class HedgedPermitRequests {

    private final RoutingContext context;
    private final TargetChoice choice;
    private final PermitRequests permits;
    private final Map<AttemptId, Route> byAttempt;

    /** Creates an instance for a router, with which it shares the index of routes by attempt. */
    HedgedPermitRequests(
            RoutingContext context, TargetChoice choice, PermitRequests permits, Map<AttemptId, Route> byAttempt) {
        this.context = context;
        this.choice = choice;
        this.permits = permits;
        this.byAttempt = byAttempt;
    }

    static Optional<HedgedPermitRequest> find(Route route, AttemptId attempt) {
        return route.hedgedRequests.stream()
                .filter(hedge -> hedge.attempt().equals(attempt))
                .findFirst();
    }

    /** Removes a hedged request because it was granted or refused. */
    Optional<HedgedPermitRequest> remove(Route route, AttemptId attempt) {
        Optional<HedgedPermitRequest> hedge = find(route, attempt);
        hedge.ifPresent(route.hedgedRequests::remove);
        return hedge;
    }

    /**
     * Requests permits at further targets, up to the configured number; the first one granted is used and the others
     * are released.
     */
    void requestElsewhere(Route route, long nowMs, Effects out) {
        while (!route.suspect
                && route.hedgedRequests.size() < context.routing().permits().maxHedgedRequests()) {
            TargetFilter filter = route.filter().without(route.target.id());
            for (HedgedPermitRequest hedge : route.hedgedRequests) {
                filter = filter.without(hedge.target().id());
            }
            TargetFilter others = filter;
            Optional<TargetState> target = route.team(context.settings())
                    .flatMap(team -> choice.chooseForHedge(route.request, team, others, nowMs));
            Optional<HostId> controller = target.flatMap(context.controllers()::controllerOf);
            if (controller.isEmpty()) {
                return;
            }
            HedgedPermitRequest hedge =
                    new HedgedPermitRequest(context.attempts().next(), target.get(), controller.get());
            route.hedgedRequests.add(hedge);
            byAttempt.put(hedge.attempt(), route);
            permits.request(route, hedge, nowMs, out);
        }
    }

    /** Withdraws all hedged requests of a request. */
    void withdraw(Route route, Effects out) {
        for (HedgedPermitRequest hedge : List.copyOf(route.hedgedRequests)) {
            withdraw(route, hedge, out);
        }
    }

    /** Withdraws the hedged requests at targets whose controller has changed. */
    void withdrawMoved(Route route, Effects out) {
        for (HedgedPermitRequest hedge : List.copyOf(route.hedgedRequests)) {
            if (!context.controllers().controllerOf(hedge.target()).equals(Optional.of(hedge.controller()))) {
                withdraw(route, hedge, out);
            }
        }
    }

    private void withdraw(Route route, HedgedPermitRequest hedge, Effects out) {
        route.hedgedRequests.remove(hedge);
        byAttempt.remove(hedge.attempt());
        permits.releaseUnused(
                hedge.controller(), hedge.attempt(), hedge.target().id(), out);
    }
}

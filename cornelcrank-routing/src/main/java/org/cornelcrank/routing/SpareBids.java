package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetId;

/**
 * Lets a request that waits queue at further targets, so that the first free slot of several serves it.
 *
 * <p>Invariant: a bid is known by its attempt until it is taken, withdrawn or refused. Not thread-safe: confined to the
 * daemon's event loop.
 */
final class SpareBids {

    private final RoutingContext context;
    private final TargetChoice choice;
    private final PermitRequests permits;
    private final Map<AttemptId, Route> byAttempt;

    /** Creates the bids of a router, which shares its routes by attempt. */
    SpareBids(RoutingContext context, TargetChoice choice, PermitRequests permits, Map<AttemptId, Route> byAttempt) {
        this.context = context;
        this.choice = choice;
        this.permits = permits;
        this.byAttempt = byAttempt;
    }

    static Optional<Bid> find(Route route, AttemptId attempt) {
        return route.spareBids.stream()
                .filter(bid -> bid.attempt().equals(attempt))
                .findFirst();
    }

    /** Takes a bid out of the spare ones, to use it or because it was refused. */
    Optional<Bid> take(Route route, AttemptId attempt) {
        Optional<Bid> bid = find(route, attempt);
        bid.ifPresent(route.spareBids::remove);
        return bid;
    }

    /** Asks at further targets, up to the bound; the first permit is used and the others given back. */
    void bidElsewhere(Route route, long nowMs, Effects out) {
        while (!route.suspect
                && route.spareBids.size() < context.routing().permits().maxSpareBids()) {
            List<TargetId> excluded = new ArrayList<>(route.excluded);
            excluded.add(route.target.id());
            route.spareBids.forEach(bid -> excluded.add(bid.target().id()));
            Optional<TargetState> target = context.settings()
                    .team(route.request.team())
                    .flatMap(team -> choice.chooseSpare(route.request, team, excluded, nowMs));
            Optional<HostId> controller = target.flatMap(context.controllers()::controllerOf);
            if (controller.isEmpty()) {
                return;
            }
            Bid bid = new Bid(context.attempts().next(), target.get(), controller.get());
            route.spareBids.add(bid);
            byAttempt.put(bid.attempt(), route);
            permits.ask(route, bid, nowMs, out);
        }
    }

    /** Withdraws all spare bids of a request. */
    void withdraw(Route route, Effects out) {
        for (Bid bid : List.copyOf(route.spareBids)) {
            withdraw(route, bid, out);
        }
    }

    /** Withdraws the bids at targets that have another controller now. */
    void withdrawMoved(Route route, Effects out) {
        for (Bid bid : List.copyOf(route.spareBids)) {
            if (!context.controllers().controllerOf(bid.target()).equals(Optional.of(bid.controller()))) {
                withdraw(route, bid, out);
            }
        }
    }

    private void withdraw(Route route, Bid bid, Effects out) {
        route.spareBids.remove(bid);
        byAttempt.remove(bid.attempt());
        permits.giveBack(bid.controller(), bid.attempt(), bid.target().id(), out);
    }
}

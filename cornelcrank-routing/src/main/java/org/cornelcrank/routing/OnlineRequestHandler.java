package org.cornelcrank.routing;

import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.RequestId;

/**
 * Routes the requests that callers make at this daemon, and replies to them.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class OnlineRequestHandler implements RequestRouter.RouteListener {

    private final OnlineRouter router;

    OnlineRequestHandler(OnlineRouter router) {
        this.router = router;
    }

    void requestReceived(RequestId id, OnlineRequest request, long nowMs, Effects out) {
        RoutedRequest routed = new RoutedRequest(
                id,
                request.workload(),
                request.service(),
                request.urgency(),
                request.deadlineAtMs(),
                request.repeatable(),
                request.resumable() && request.streaming(),
                request.prefixHashes(),
                request.sharedParts(),
                request.fingerprint(),
                new DispatchSource.FromCaller(id),
                request.options());
        router.route(routed, this, nowMs, out);
    }

    @Override
    public void routeEnded(RoutedRequest request, RouteOutcome outcome, long nowMs, Effects out) {
        if (outcome instanceof RouteOutcome.GivenUp givenUp) {
            out.reply(request.id(), givenUp.refusal());
        } else if (outcome instanceof RouteOutcome.TargetResponded responded) {
            reply(request.id(), responded, out);
        }
    }

    private void reply(RequestId id, RouteOutcome.TargetResponded responded, Effects out) {
        if (responded.outcome() instanceof AttemptOutcome.Succeeded succeeded) {
            out.reply(
                    id,
                    new OnlineEnded(responded.target(), succeeded.status(), succeeded.tokens(), responded.attempts()));
        } else if (responded.outcome() instanceof AttemptOutcome.Failed failed) {
            out.reply(id, new OnlineRejected(responded.target(), failed.verdict(), failed.status(), failed.body()));
        }
    }
}

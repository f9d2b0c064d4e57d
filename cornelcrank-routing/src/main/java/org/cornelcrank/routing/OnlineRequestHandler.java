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
                request.fingerprint(),
                new DispatchSource.FromCaller(id),
                request.options());
        router.route(routed, this, nowMs, out);
    }

    @Override
    public void routeEnded(RoutedRequest request, RouteOutcome outcome, long nowMs, Effects out) {
        if (outcome instanceof RouteOutcome.GivenUp givenUp) {
            out.reply(request.id(), givenUp.refusal());
        } else if (outcome instanceof RouteOutcome.TargetResponded answered) {
            reply(request.id(), answered, out);
        }
    }

    private void reply(RequestId id, RouteOutcome.TargetResponded answered, Effects out) {
        if (answered.outcome() instanceof AttemptOutcome.Succeeded succeeded) {
            out.reply(
                    id,
                    new OnlineEnded(answered.target(), succeeded.status(), succeeded.tokens(), answered.attempts()));
        } else if (answered.outcome() instanceof AttemptOutcome.Failed failed) {
            out.reply(id, new OnlineRejected(answered.target(), failed.verdict(), failed.status(), failed.body()));
        }
    }
}

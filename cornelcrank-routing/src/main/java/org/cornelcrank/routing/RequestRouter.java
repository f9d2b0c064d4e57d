package org.cornelcrank.routing;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.TargetId;

/**
 * Runs requests on targets: chooses a target, obtains a permit, dispatches, and tries again where that is allowed.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
public interface RequestRouter {

    /** Begins to route a request; the listener is told of its end exactly once, possibly before this method returns. */
    void route(RoutedRequest request, RouteListener listener, long nowMs, Effects out);

    /** Gives a request up; its listener is told in the same event. Does nothing if it has ended. */
    void cancel(RequestId request, long nowMs, Effects out);

    /** Is told how a routed request ends. */
    interface RouteListener {

        void routeEnded(RoutedRequest request, RouteOutcome outcome, long nowMs, Effects out);

        /**
         * Is told that bytes may now go to a target; a listener that has to record an intent has done so before it
         * routes the request.
         */
        default void routeDispatched(RoutedRequest request, TargetId target, long nowMs, Effects out) {}
    }
}

package org.cornelcrank.routing;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.TargetId;

/**
 * Runs requests on targets: chooses a target, obtains a permit, dispatches the request, and retries it where that is
 * allowed.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
public interface RequestRouter {

    /**
     * Starts to route a request; the listener is notified of its end exactly once, possibly before this method returns.
     */
    void route(RoutedRequest request, RouteListener listener, long nowMs, Effects out);

    /** Cancels a request; its listener is notified in the same event. Does nothing if the request has ended. */
    void cancel(RequestId request, long nowMs, Effects out);

    /** Is notified of the progress and the end of a routed request. */
    interface RouteListener {

        void routeEnded(RoutedRequest request, RouteOutcome outcome, long nowMs, Effects out);

        /**
         * Called when bytes may now go to a target. A listener that has to record an intent must have done so before it
         * routes the request.
         */
        default void routeDispatched(RoutedRequest request, TargetId target, long nowMs, Effects out) {}
    }
}

package org.cornelcrank.call;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.Verdict;
import org.cornelcrank.routing.RequestRouter;
import org.cornelcrank.routing.RouteOutcome;
import org.cornelcrank.routing.RoutedRequest;

/** Router whose requests the test ends. Not thread-safe. */
final class FakeRouter implements RequestRouter {

    static final TargetId TARGET = new TargetId("slip-printer");

    final Map<RequestId, RoutedRequest> running = new LinkedHashMap<>();
    final List<RoutedRequest> routed = new ArrayList<>();
    private final Map<RequestId, RouteListener> listeners = new LinkedHashMap<>();
    private Consumer<RoutedRequest> observer = request -> {};

    /** Sets the observer that is notified of each routed request. */
    void onRouted(Consumer<RoutedRequest> newObserver) {
        observer = newObserver;
    }

    @Override
    public void route(RoutedRequest request, RouteListener listener, long nowMs, Effects out) {
        routed.add(request);
        running.put(request.id(), request);
        listeners.put(request.id(), listener);
        observer.accept(request);
    }

    @Override
    public void cancel(RequestId request, long nowMs, Effects out) {
        running.remove(request);
    }

    /** Ends a request if it is still running. */
    void end(RoutedRequest request, RouteOutcome outcome, long nowMs, Effects out) {
        if (running.remove(request.id()) == null) {
            return;
        }
        listeners.remove(request.id()).routeEnded(request, outcome, nowMs, out);
    }

    static RouteOutcome responded(String body) {
        return new RouteOutcome.TargetResponded(
                TARGET, new AttemptOutcome.Succeeded(200, "text/plain", ByteString.copyFromUtf8(body), 0));
    }

    static RouteOutcome failed(FailureKind kind, Verdict verdict, int status) {
        return new RouteOutcome.TargetResponded(
                TARGET,
                new AttemptOutcome.Failed(verdict, kind, status, 0, false, 0, ByteString.EMPTY, "made to fail"));
    }

    static RouteOutcome givenUp(Refusal refusal) {
        return new RouteOutcome.GivenUp(refusal);
    }
}

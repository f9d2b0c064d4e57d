package org.cornelcrank.call;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import org.cornelcrank.core.RequestId;

/**
 * Tracks the running calls that were passed to the router, even after another daemon has become the owner of their
 * partitions.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class RoutedCalls {

    private final SortedMap<String, Routed> routed = new TreeMap<>();

    void add(RunningCall call, OwnedCalls owner) {
        routed.put(call.request().toString(), new Routed(call, owner));
    }

    /** Removes and returns a call; null if it is not tracked. */
    Routed remove(RequestId request) {
        return routed.remove(request.toString());
    }

    /** Returns the calls ordered by request id. */
    List<Routed> all() {
        return List.copyOf(routed.values());
    }

    int size() {
        return routed.size();
    }

    record Routed(RunningCall call, OwnedCalls owner) {}
}

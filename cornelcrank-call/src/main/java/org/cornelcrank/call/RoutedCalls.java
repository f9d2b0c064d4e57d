package org.cornelcrank.call;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import org.cornelcrank.core.RequestId;

/**
 * Remembers who waits for the end of each routed call, also after the partition went to another daemon.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class RoutedCalls {

    private final SortedMap<String, Routed> routed = new TreeMap<>();

    void add(RunningCall call, OwnedCalls owner) {
        routed.put(call.request().toString(), new Routed(call, owner));
    }

    /** Removes and returns a call, null if it is none of these. */
    Routed remove(RequestId request) {
        return routed.remove(request.toString());
    }

    /** Returns the calls in the order of their requests. */
    List<Routed> all() {
        return List.copyOf(routed.values());
    }

    int size() {
        return routed.size();
    }

    record Routed(RunningCall call, OwnedCalls owner) {}
}

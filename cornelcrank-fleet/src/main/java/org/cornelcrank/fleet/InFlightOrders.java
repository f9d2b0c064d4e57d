package org.cornelcrank.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcrank.core.TargetId;

/**
 * Keeps the orders that are on their way, and how long targets are left alone after failures.
 *
 * <p>An order is on its way until its target reports what was ordered, or until the longest time for it is over where
 * nobody knows what became of it. Not thread-safe: confined to the daemon's event loop.
 */
final class InFlightOrders {

    private final FleetSettings settings;
    private final TreeMap<TargetId, Flight> open = new TreeMap<>();
    private final Map<TargetId, Pause> pauses = new HashMap<>();

    InFlightOrders(FleetSettings settings) {
        this.settings = settings;
    }

    int size() {
        return open.size();
    }

    Map<TargetId, Flight> open() {
        return open;
    }

    boolean isBusy(TargetId target, long nowMs) {
        Pause pause = pauses.get(target);
        return open.containsKey(target) || pause != null && pause.untilMs > nowMs;
    }

    void sent(TargetId target, long orderNumber, DesiredState desired, long nowMs) {
        open.put(target, new Flight(orderNumber, desired, nowMs, -1));
    }

    Optional<Flight> find(TargetId target, long orderNumber) {
        return Optional.ofNullable(open.get(target)).filter(flight -> flight.orderNumber == orderNumber);
    }

    /** The target says that it has done it; its report has to show it yet. */
    void done(TargetId target, long nowMs) {
        open.computeIfPresent(
                target, (id, flight) -> new Flight(flight.orderNumber, flight.desired, flight.sentAtMs, nowMs));
    }

    /** Drops an order that had no effect, and leaves the target alone for longer each time. */
    void failed(TargetId target, long nowMs) {
        open.remove(target);
        Pause before = pauses.getOrDefault(target, new Pause(0, 0));
        long pauseMs = Math.min(settings.retryMaxMs(), settings.retryBaseMs() << Math.min(before.failures, 10));
        pauses.put(target, new Pause(before.failures + 1, nowMs + pauseMs));
    }

    void confirmed(TargetId target) {
        open.remove(target);
        pauses.remove(target);
    }

    /** Returns the targets whose order has run out of time. */
    List<TargetId> overdue(long nowMs) {
        List<TargetId> overdue = new ArrayList<>();
        open.forEach((target, flight) -> {
            long fromMs = Math.max(flight.sentAtMs, flight.doneAtMs);
            if (nowMs - fromMs >= settings.orderTimeoutMs()) {
                overdue.add(target);
            }
        });
        return overdue;
    }

    /** An order on its way; {@code doneAtMs} is negative until the target has answered that it did it. */
    record Flight(long orderNumber, DesiredState desired, long sentAtMs, long doneAtMs) {}

    private record Pause(int failures, long untilMs) {}
}

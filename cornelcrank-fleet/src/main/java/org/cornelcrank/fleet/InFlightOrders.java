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
    private final TreeMap<TargetId, InFlightOrder> open = new TreeMap<>();
    private final Map<TargetId, Backoff> backoffs = new HashMap<>();

    InFlightOrders(FleetSettings settings) {
        this.settings = settings;
    }

    int size() {
        return open.size();
    }

    Map<TargetId, InFlightOrder> open() {
        return open;
    }

    boolean isBusy(TargetId target, long nowMs) {
        Backoff backoff = backoffs.get(target);
        return open.containsKey(target) || backoff != null && backoff.untilMs > nowMs;
    }

    void sent(TargetId target, long orderNumber, DesiredState desired, long nowMs) {
        open.put(target, new InFlightOrder(orderNumber, desired, nowMs, -1));
    }

    Optional<InFlightOrder> find(TargetId target, long orderNumber) {
        return Optional.ofNullable(open.get(target)).filter(order -> order.orderNumber == orderNumber);
    }

    /** The target says that it has done it; its report has to show it yet. */
    void acknowledged(TargetId target, long nowMs) {
        open.computeIfPresent(
                target, (id, order) -> new InFlightOrder(order.orderNumber, order.desired, order.sentAtMs, nowMs));
    }

    /** Drops an order that had no effect, and leaves the target alone for longer each time. */
    void failed(TargetId target, long nowMs) {
        open.remove(target);
        Backoff before = backoffs.getOrDefault(target, new Backoff(0, 0));
        long backoffMs = Math.min(settings.retryMaxMs(), settings.retryBaseMs() << Math.min(before.failures, 10));
        backoffs.put(target, new Backoff(before.failures + 1, nowMs + backoffMs));
    }

    void confirmed(TargetId target) {
        open.remove(target);
        backoffs.remove(target);
    }

    /** Returns the targets whose order has run out of time. */
    List<TargetId> overdue(long nowMs) {
        List<TargetId> overdue = new ArrayList<>();
        open.forEach((target, order) -> {
            long fromMs = Math.max(order.sentAtMs, order.acknowledgedAtMs);
            if (nowMs - fromMs >= settings.orderTimeoutMs()) {
                overdue.add(target);
            }
        });
        return overdue;
    }

    /** An order on its way; {@code doneAtMs} is negative until the target has answered that it did it. */
    record InFlightOrder(long orderNumber, DesiredState desired, long sentAtMs, long acknowledgedAtMs) {}

    private record Backoff(int failures, long untilMs) {}
}

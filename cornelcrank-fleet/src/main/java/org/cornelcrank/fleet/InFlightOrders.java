package org.cornelcrank.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.cornelcrank.core.TargetId;

/**
 * Tracks the orders in flight, and the back-off of each target after failed orders.
 *
 * <p>An order is in flight until its target reports the ordered state, or until its timeout has passed if its effect
 * remains unknown. Not thread-safe: confined to the daemon's event loop.
 */
final class InFlightOrders {

    private final FleetSettings settings;
    private final TreeMap<TargetId, Order> open = new TreeMap<>();
    private final Map<TargetId, Backoff> backoffs = new HashMap<>();

    InFlightOrders(FleetSettings settings) {
        this.settings = settings;
    }

    int size() {
        return open.size();
    }

    Map<TargetId, Order> open() {
        return open;
    }

    boolean isBusy(TargetId target, long nowMs) {
        Backoff backoff = backoffs.get(target);
        return open.containsKey(target) || backoff != null && backoff.untilMs > nowMs;
    }

    void sent(TargetId target, long orderNumber, DesiredState desired, long nowMs) {
        open.put(target, new Order(orderNumber, desired, nowMs, -1));
    }

    Optional<Order> find(TargetId target, long orderNumber) {
        return Optional.ofNullable(open.get(target)).filter(order -> order.orderNumber == orderNumber);
    }

    /** Records that the target has acknowledged the order; its report must still confirm it. */
    void acknowledged(TargetId target, long nowMs) {
        open.computeIfPresent(
                target, (id, order) -> new Order(order.orderNumber, order.desired, order.sentAtMs, nowMs));
    }

    /** Removes an order that had no effect, and doubles the target's back-off up to the maximum. */
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

    /** Returns the targets whose order has timed out. */
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

    /** An order in flight; {@code acknowledgedAtMs} is negative until the target has acknowledged it. */
    record Order(long orderNumber, DesiredState desired, long sentAtMs, long acknowledgedAtMs) {}

    private record Backoff(int failures, long untilMs) {}
}

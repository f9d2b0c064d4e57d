package org.cornelcrank.routing;

import java.util.Objects;

/**
 * The configurable parts of routing: its settings, the target selector and the admission order.
 *
 * <p>Belongs to one daemon, as the selector may be stateful.
 */
public record RoutingPolicy(RoutingSettings settings, TargetSelector selector, AdmissionOrder admission) {

    public RoutingPolicy {
        Objects.requireNonNull(settings, "settings must not be null");
        Objects.requireNonNull(selector, "selector must not be null");
        Objects.requireNonNull(admission, "admission must not be null");
    }

    /** Returns the policy for production. */
    public static RoutingPolicy defaults() {
        return new RoutingPolicy(
                RoutingSettings.defaults(), new PrefixAffinityTargetSelector(), AdmissionOrder.URGENCY_FIRST);
    }
}

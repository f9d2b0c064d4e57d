package org.cornelcrank.routing;

import java.util.Objects;

/**
 * The parts of routing that vary: its settings, the choice of target and the order of admission.
 *
 * <p>Belongs to one daemon, as the selector may keep state.
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

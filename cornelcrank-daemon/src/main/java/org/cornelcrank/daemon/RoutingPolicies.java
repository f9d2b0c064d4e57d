package org.cornelcrank.daemon;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.cornelcrank.routing.AdmissionOrder;
import org.cornelcrank.routing.LaggingLeastLoadTargetSelector;
import org.cornelcrank.routing.LeastLoadedTargetSelector;
import org.cornelcrank.routing.PowerOfTwoTargetSelector;
import org.cornelcrank.routing.PrefixAffinityTargetSelector;
import org.cornelcrank.routing.RoundRobinTargetSelector;
import org.cornelcrank.routing.RoutingPolicy;
import org.cornelcrank.routing.RoutingSettings;
import org.cornelcrank.routing.TargetSelector;

/**
 * Registry of the routing policies that a daemon can be started with.
 *
 * <p>The last two are baselines for measurements: they admit requests in order of arrival, without permits. Stateless,
 * thus thread-safe.
 */
public final class RoutingPolicies {

    private static final Map<String, Supplier<RoutingPolicy>> BY_NAME = new LinkedHashMap<>();

    static {
        BY_NAME.put("prefix-affinity", () -> urgencyFirst(new PrefixAffinityTargetSelector()));
        BY_NAME.put("power-of-two", () -> urgencyFirst(new PowerOfTwoTargetSelector()));
        BY_NAME.put("least-loaded", () -> urgencyFirst(new LeastLoadedTargetSelector()));
        BY_NAME.put("round-robin", () -> inArrivalOrder(new RoundRobinTargetSelector()));
        BY_NAME.put("lagging-least-load", () -> inArrivalOrder(new LaggingLeastLoadTargetSelector()));
    }

    private RoutingPolicies() {}

    /**
     * Returns the names, with that of the default policy first.
     *
     * @return the names
     */
    public static List<String> names() {
        return List.copyOf(BY_NAME.keySet());
    }

    /**
     * Creates the policy of the given name for one daemon.
     *
     * @param name one of {@link #names()}
     * @return the policy
     * @throws IllegalArgumentException if there is no policy of that name
     */
    public static RoutingPolicy named(String name) {
        Supplier<RoutingPolicy> policy = BY_NAME.get(name);
        if (policy == null) {
            throw new IllegalArgumentException("policy must be one of " + names() + " but was " + name);
        }
        return policy.get();
    }

    private static RoutingPolicy urgencyFirst(TargetSelector selector) {
        return new RoutingPolicy(RoutingSettings.defaults(), selector, AdmissionOrder.URGENCY_FIRST);
    }

    private static RoutingPolicy inArrivalOrder(TargetSelector selector) {
        return new RoutingPolicy(RoutingSettings.defaults(), selector, AdmissionOrder.ARRIVAL);
    }
}

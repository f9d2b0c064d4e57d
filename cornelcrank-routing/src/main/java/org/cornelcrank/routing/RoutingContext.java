package org.cornelcrank.routing;

import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.config.Settings;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.Location;

/**
 * The collaborators shared by the parts of the routing state machine.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
record RoutingContext(
        DaemonIdentity identity,
        Settings settings,
        RoutingPolicy policy,
        TargetDirectory directory,
        ControllerMap controllers,
        PeerLink peers,
        AttemptIdGenerator attempts,
        SuspectRegistry suspects,
        PromptPartRegistry promptParts,
        TargetStatusPublisher statusPublisher,
        RandomGenerator random,
        MetricRegistry metrics) {

    RoutingSettings routing() {
        return policy.settings();
    }

    /** Returns whether a target lies in another region than this daemon. */
    boolean isInOtherRegion(TargetState target) {
        return identity.location().distanceTo(target.location()) == Location.Distance.OTHER_REGION;
    }

    void count(String name) {
        metrics.counter(RoutingStateMachine.NAME + "." + name).inc();
    }

    void count(String name, long amount) {
        metrics.counter(RoutingStateMachine.NAME + "." + name).inc(amount);
    }
}

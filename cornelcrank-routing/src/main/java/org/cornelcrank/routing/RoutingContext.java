package org.cornelcrank.routing;

import java.util.Optional;
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
        PathMonitor paths,
        RandomGenerator random,
        MetricRegistry metrics) {

    RoutingSettings routing() {
        return policy.settings();
    }

    /** Returns whether a target lies in another region than this daemon. */
    boolean isInOtherRegion(TargetState target) {
        return identity.location().distanceTo(target.location()) == Location.Distance.OTHER_REGION;
    }

    /** Returns the distance to a target on the way that new attempts take. */
    Location.Distance distanceTo(TargetState target, long nowMs) {
        Location.Distance distance = identity.location().distanceTo(target.location());
        Optional<Location> relay = paths.relayFor(target, nowMs).flatMap(paths::locationOf);
        if (relay.isEmpty()) {
            return distance;
        }
        return regionCrossings(target, nowMs) > 0 ? Location.Distance.OTHER_REGION : distance;
    }

    /** Returns how often new attempts on a target cross between regions. */
    int regionCrossings(TargetState target, long nowMs) {
        Optional<Location> relay = paths.relayFor(target, nowMs).flatMap(paths::locationOf);
        Location through = relay.orElse(target.location());
        return crossings(identity.location(), through) + crossings(through, target.location());
    }

    private static int crossings(Location from, Location to) {
        return from.distanceTo(to) == Location.Distance.OTHER_REGION ? 1 : 0;
    }

    void count(String name) {
        metrics.counter(RoutingStateMachine.NAME + "." + name).inc();
    }

    void count(String name, long amount) {
        metrics.counter(RoutingStateMachine.NAME + "." + name).inc(amount);
    }
}

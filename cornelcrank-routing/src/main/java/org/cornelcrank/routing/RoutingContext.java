package org.cornelcrank.routing;

import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.config.Settings;
import org.cornelcrank.core.DaemonIdentity;

/**
 * What the parts of the routing duty share.
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
        AttemptNumbers attempts,
        SuspectRegistry suspects,
        TargetNotices notices,
        RandomGenerator random,
        MetricRegistry metrics) {

    RoutingSettings routing() {
        return policy.settings();
    }

    void count(String thing) {
        metrics.counter(RoutingDuty.NAME + "." + thing).inc();
    }

    void count(String thing, long amount) {
        metrics.counter(RoutingDuty.NAME + "." + thing).inc(amount);
    }
}

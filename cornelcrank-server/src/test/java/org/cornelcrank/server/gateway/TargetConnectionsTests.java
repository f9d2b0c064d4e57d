package org.cornelcrank.server.gateway;

import java.time.Duration;
import java.util.Optional;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.server.loop.MonotonicClock;
import org.cornelcrank.server.peer.RelayClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.netty.resources.LoopResources;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Uses ways to targets through peers, without connecting, on a virtual clock. */
class TargetConnectionsTests {

    private static final HostId RELAY = new HostId("relay");
    private static final TargetId TARGET = new TargetId("target");

    private final LoopResources loops = LoopResources.create("test", 1, true);
    private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
    private final MetricRegistry metrics = new MetricRegistry();
    private String address = "127.0.0.1:1";
    private final TargetConnections connections = new TargetConnections(
            loops,
            new RelayClient(
                    RelayedAttempts.security(RelayedAttempts.HOST, RelayedAttempts.KEY),
                    host -> host.equals(RELAY) ? Optional.of(address) : Optional.empty()),
            TargetConnections.CONNECT_TIMEOUT_MS,
            time,
            new MonotonicClock(),
            metrics);

    @AfterEach
    void stop() {
        loops.dispose();
    }

    @Test
    void wayThroughAPeerWithoutAnAddressIsUnknown() {
        assertThat(connections.relayed(new HostId("unknown"), TARGET)).isEmpty();
    }

    @Test
    void wayIsKeptForFurtherAttempts() {
        TargetConnections.RelayedClient first = use(TARGET);
        first.close();
        assertThat(use(TARGET)).isSameAs(first);
    }

    /** Guards against a pooled connection through the same peer that ends at another target. */
    @Test
    void targetsBehindOnePeerShareNoConnections() {
        assertThat(use(TARGET)).isNotSameAs(use(new TargetId("other")));
    }

    /** Guards against connections to a daemon that has taken over the address of another one. */
    @Test
    void peerAtANewAddressIsConnectedToAgain() {
        TargetConnections.RelayedClient before = use(TARGET);
        address = "127.0.0.1:2";
        assertThat(use(TARGET)).isNotSameAs(before);
    }

    /** Guards against pools that pile up, and against places at peers that are never freed. */
    @Test
    void wayThatIsNoLongerUsedIsDropped() {
        use(TARGET).close();
        time.advanceTimeBy(Duration.ofMillis(TargetConnections.ROUTE_IDLE_MS));
        assertThat(ways()).isEqualTo(1);
        time.advanceTimeBy(Duration.ofMillis(TargetConnections.ROUTE_IDLE_MS));
        assertThat(ways()).isZero();
    }

    @Test
    void nothingIsCheckedOnceNoWayIsLeft() {
        use(TARGET).close();
        time.advanceTimeBy(Duration.ofMillis(2 * TargetConnections.ROUTE_IDLE_MS));
        long checks = time.getScheduledTaskCount();
        time.advanceTimeBy(Duration.ofMillis(10 * TargetConnections.ROUTE_IDLE_MS));
        assertThat(time.getScheduledTaskCount()).isEqualTo(checks);
    }

    @Test
    void wayOfARunningAttemptIsKept() {
        use(TARGET);
        use(TARGET).close();
        time.advanceTimeBy(Duration.ofMillis(10 * TargetConnections.ROUTE_IDLE_MS));
        assertThat(ways()).isEqualTo(1);
    }

    private TargetConnections.RelayedClient use(TargetId target) {
        return connections.relayed(RELAY, target).orElseThrow();
    }

    private int ways() {
        return (Integer) metrics.getGauges().get("attempts.relay-routes").getValue();
    }
}

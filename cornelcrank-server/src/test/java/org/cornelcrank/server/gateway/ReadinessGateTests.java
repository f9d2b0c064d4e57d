package org.cornelcrank.server.gateway;

import java.time.Duration;
import java.util.List;

import org.cornelcrank.core.Effects;
import org.cornelcrank.core.RegionId;
import org.cornelcrank.gateway.RequestLimits;
import org.cornelcrank.gateway.RouteTable;
import org.cornelcrank.gateway.RouteTableSettings;
import org.junit.jupiter.api.Test;
import reactor.test.StepVerifier;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Guards against refusing callers of a daemon that was killed under load and restarted, before it has loaded its
 * routes.
 */
class ReadinessGateTests {

    private final RouteTableSettings settings = new RouteTableSettings(new RegionId("region"));
    private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
    private final ReadinessGate gate = new ReadinessGate(settings, time);

    @Test
    void requestPassesAsSoonAsRoutesAreLoaded() {
        StepVerifier.create(gate.awaitRoutes())
                .then(() -> time.advanceTimeBy(Duration.ofMillis(ReadinessGate.TIMEOUT_MS - 1)))
                .then(this::installRoutes)
                .expectNext(true)
                .verifyComplete();
        StepVerifier.create(gate.awaitRoutes()).expectNext(true).verifyComplete();
    }

    @Test
    void requestDoesNotPassWhenTheWaitTimesOut() {
        StepVerifier.create(gate.awaitRoutes())
                .then(() -> time.advanceTimeBy(Duration.ofMillis(ReadinessGate.TIMEOUT_MS)))
                .expectNext(false)
                .verifyComplete();
    }

    private void installRoutes() {
        settings.install(new RouteTable(1, List.of(), RequestLimits.DEFAULT), 0, new Effects());
    }
}

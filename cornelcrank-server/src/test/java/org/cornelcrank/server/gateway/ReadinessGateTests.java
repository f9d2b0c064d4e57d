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

/** Load: a daemon killed under traffic and started again, to which callers come before it knows any routes. */
class ReadinessGateTests {

    private final RouteTableSettings settings = new RouteTableSettings(new RegionId("region"));
    private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
    private final ReadinessGate gate = new ReadinessGate(settings, time);

    @Test
    void aRequestPassesAsSoonAsRoutesAreKnown() {
        StepVerifier.create(gate.pass())
                .then(() -> time.advanceTimeBy(Duration.ofMillis(ReadinessGate.PATIENCE_MS - 1)))
                .then(this::installRoutes)
                .expectNext(true)
                .verifyComplete();
        StepVerifier.create(gate.pass()).expectNext(true).verifyComplete();
    }

    @Test
    void aRequestIsToldAtOnceWhenItsPatienceIsOver() {
        StepVerifier.create(gate.pass())
                .then(() -> time.advanceTimeBy(Duration.ofMillis(ReadinessGate.PATIENCE_MS)))
                .expectNext(false)
                .verifyComplete();
    }

    private void installRoutes() {
        settings.install(new RouteTable(1, List.of(), RequestLimits.DEFAULT), 0, new Effects());
    }
}

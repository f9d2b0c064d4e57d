package org.cornelcrank.server.gateway;

import java.time.Duration;

import org.cornelcrank.gateway.RouteTableSettings;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/**
 * Lets requests that come while a daemon starts wait a moment for the first table of routes.
 *
 * <p>Not thread-safe: confined to the event loop.
 */
final class ReadinessGate {

    /**
     * How long a request waits, in ms: as long as it would be told to stay away, so that waiting costs it nothing. A daemon
     * knows its routes within 400 ms of listening where the store answers.
     */
    static final long PATIENCE_MS = GatewayHttpServer.NOT_READY_RETRY_MS;

    private final RouteTableSettings settings;
    private final Scheduler scheduler;
    private final Sinks.One<Boolean> known = Sinks.one();

    ReadinessGate(RouteTableSettings settings, Scheduler scheduler) {
        this.settings = settings;
        this.scheduler = scheduler;
        settings.subscribe((nowMs, out) -> known.tryEmitValue(true));
    }

    RouteTableSettings settings() {
        return settings;
    }

    /** Returns whether routes are known, now or within the patience. */
    Mono<Boolean> pass() {
        return known.asMono().timeout(Duration.ofMillis(PATIENCE_MS), Mono.just(false), scheduler);
    }
}

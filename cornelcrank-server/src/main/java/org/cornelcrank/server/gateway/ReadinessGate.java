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
     * How long a request waits, in ms: a starting daemon has its routes some 100 ms after it listens, also from another
     * region, and a request that waits no longer may still be answered in time.
     */
    static final long PATIENCE_MS = 200;

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
        return settings.ready()
                ? Mono.just(true)
                : known.asMono().timeout(Duration.ofMillis(PATIENCE_MS), Mono.just(false), scheduler);
    }
}

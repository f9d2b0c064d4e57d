package org.cornelcrank.server.gateway;

import java.time.Duration;

import org.cornelcrank.gateway.RouteTableSettings;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/**
 * Delays requests that arrive while a daemon starts, until the first route table is loaded or a timeout elapses.
 *
 * <p>Not thread-safe: confined to the event loop.
 */
final class ReadinessGate {

    /**
     * How long a request waits, in ms: no longer than the retry delay that the caller would receive otherwise, so
     * that waiting costs nothing. If the store responds, a daemon loads its routes within 400 ms of opening its
     * listener.
     */
    static final long TIMEOUT_MS = GatewayHttpServer.NOT_READY_RETRY_MS;

    private final RouteTableSettings settings;
    private final Scheduler scheduler;
    private final Sinks.One<Boolean> routesLoaded = Sinks.one();

    ReadinessGate(RouteTableSettings settings, Scheduler scheduler) {
        this.settings = settings;
        this.scheduler = scheduler;
        settings.subscribe((nowMs, out) -> routesLoaded.tryEmitValue(true));
    }

    RouteTableSettings settings() {
        return settings;
    }

    /** Returns the scheduler of the event loop. */
    Scheduler scheduler() {
        return scheduler;
    }

    /** Waits for the routes; emits false if they are not loaded within the timeout. */
    Mono<Boolean> awaitRoutes() {
        return routesLoaded.asMono().timeout(Duration.ofMillis(TIMEOUT_MS), Mono.just(false), scheduler);
    }
}

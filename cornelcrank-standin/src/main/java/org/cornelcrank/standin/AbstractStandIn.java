package org.cornelcrank.standin;

import reactor.core.publisher.Mono;

/**
 * Base class of stand-ins that connects their request handling to an HTTP server.
 *
 * <p>Subclasses must be thread-safe: {@link #respond(StandInRequest)} may be called on any event loop thread.
 */
abstract class AbstractStandIn implements StandIn {

    private final StandInServer server;

    AbstractStandIn(String host, int port) {
        this.server = new StandInServer(host, port, this::respond, this::onCrash);
    }

    @Override
    public final void start() {
        server.start();
    }

    @Override
    public final String address() {
        return server.address();
    }

    @Override
    public final Faults faults() {
        return server.faults();
    }

    @Override
    public final void setFaults(Faults faults) {
        server.setFaults(faults);
    }

    @Override
    public void close() {
        server.close();
    }

    /** Handles a request; must not block. */
    abstract Mono<StandInResponse> respond(StandInRequest request);

    /** Discards the state that a crashed process loses. */
    void onCrash() {}

    /** Closes all connections and stops listening for the given time. */
    final void crash(long downMs) {
        server.crash(downMs);
    }
}

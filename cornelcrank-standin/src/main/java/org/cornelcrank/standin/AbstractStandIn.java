package org.cornelcrank.standin;

import reactor.core.publisher.Mono;

/**
 * Joins a stand-in's answers to its HTTP listener.
 *
 * <p>Subclasses must be thread-safe: {@link #answer(Call)} is called by any thread of the event loops.
 */
abstract class AbstractStandIn implements StandIn {

    private final StandInServer server;

    AbstractStandIn(String host, int port) {
        this.server = new StandInServer(host, port, this::answer, this::crashed);
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

    /** Answers one request; must not block. */
    abstract Mono<StandInResponse> answer(Call call);

    /** Forgets what a crashed process forgets. */
    void crashed() {}

    /** Cuts all connections and takes the listener away for a time. */
    final void crash(long downMs) {
        server.crash(downMs);
    }
}

package org.cornelcrank.standin;

/**
 * A small server that takes the place of a part of the platform or of a target.
 *
 * <p>Implementations are thread-safe and never block the threads of the HTTP server.
 */
public interface StandIn extends AutoCloseable {

    /** Starts to listen. */
    void start();

    /** Returns the address in the form {@code host:port}, with the real port where the settings asked for any. */
    String address();

    /** Returns the base URL. */
    default String url() {
        return "http://" + address();
    }

    /** Returns the faults that are switched on. */
    Faults faults();

    /** Switches faults on and off; a crash begins at once. */
    void setFaults(Faults faults);

    @Override
    void close();
}

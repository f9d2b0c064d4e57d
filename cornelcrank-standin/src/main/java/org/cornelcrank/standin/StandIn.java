package org.cornelcrank.standin;

/**
 * A small server that replaces a service of the platform or a target in tests and demonstrations.
 *
 * <p>Implementations are thread-safe and never block the threads of the HTTP server.
 */
public interface StandIn extends AutoCloseable {

    /** Starts listening. */
    void start();

    /**
     * Returns the address in the form {@code host:port}, with the actual port if the settings specify any free port.
     */
    String address();

    /** Returns the base URL. */
    default String url() {
        return "http://" + address();
    }

    /** Returns the faults that are being simulated. */
    Faults faults();

    /** Replaces the simulated faults; a crash starts immediately. */
    void setFaults(Faults faults);

    @Override
    void close();
}

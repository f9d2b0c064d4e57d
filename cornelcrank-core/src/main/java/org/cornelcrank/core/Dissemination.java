package org.cornelcrank.core;

/**
 * Publishes facts to other daemons by gossip.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
public interface Dissemination {

    /** Publishes a fact to all daemons of its scope and to this daemon's own listeners. */
    void publish(Fact fact, long nowMs, Effects out);

    /** Registers a listener for a slice's facts; must be called before the daemon starts. */
    void subscribe(String slice, FactListener listener);

    /** Is notified of each new fact and of each newer version of a fact. */
    interface FactListener {
        void factReceived(Fact fact, long nowMs, Effects out);
    }
}

package org.cornelcrank.core;

/**
 * Spreads facts with the membership's traffic.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
public interface Dissemination {

    /** Spreads a fact, and gives it to this daemon's listeners as well. */
    void publish(Fact fact, long nowMs, Effects out);

    /** Registers a listener for a slice's facts; called before the daemon starts. */
    void subscribe(String slice, FactListener listener);

    /** Is told of each new or newer fact. */
    interface FactListener {
        void factReceived(Fact fact, long nowMs, Effects out);
    }
}

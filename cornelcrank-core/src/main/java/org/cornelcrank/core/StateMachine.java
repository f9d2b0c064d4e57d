package org.cornelcrank.core;

/**
 * One duty of a daemon: a deterministic state machine without I/O, threads or a clock.
 *
 * <p>Every event is offered to every duty, which passes over what does not concern it. The present time is an argument;
 * randomness comes from a seeded generator given to the constructor. Implementations are not thread-safe: they are
 * confined to the daemon's event loop.
 */
public interface StateMachine {

    /** Returns the name of the duty, which its timers, dump section and metrics carry. */
    String name();

    /** Handles an event at the present time, and adds what has to be done. */
    void on(Event event, long nowMs, Effects out);

    /** Writes the whole present state, without payloads and keys. */
    void dump(StateWriter writer, long nowMs);

    /**
     * Returns whether the process may end now without cutting anything that this duty has begun.
     *
     * <p>Asked after {@link Event.StopRequested}, again and again until every duty says so or the time to drain is over.
     */
    default boolean quiescent() {
        return true;
    }
}

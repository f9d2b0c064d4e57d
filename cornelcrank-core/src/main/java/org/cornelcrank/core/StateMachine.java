package org.cornelcrank.core;

/**
 * A deterministic state machine that implements one part of a daemon, without I/O, threads or a clock.
 *
 * <p>Each state machine receives every event and ignores those that do not concern it. The current time is a parameter;
 * random numbers come from a seeded generator passed to the constructor. Implementations are not thread-safe: they are
 * confined to the daemon's event loop.
 */
public interface StateMachine {

    /** Returns the name, which is used for the timers, the dump section and the metrics. */
    String name();

    /** Handles an event at the given time and adds the resulting effects. */
    void on(Event event, long nowMs, Effects out);

    /** Writes the complete current state, without payloads and API keys. */
    void dump(StateWriter writer, long nowMs);

    /**
     * Returns whether the process may end now without interrupting any work of this state machine.
     *
     * <p>Polled after {@link Event.StopRequested} until all state machines are quiescent or the drain time is over.
     */
    default boolean quiescent() {
        return true;
    }
}

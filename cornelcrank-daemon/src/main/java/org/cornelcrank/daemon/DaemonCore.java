package org.cornelcrank.daemon;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.StateMachine;

/**
 * The decision core of one daemon: offers each event to every duty and gathers what they want done.
 *
 * <p>Invariant: the effects depend on nothing but the events, their times and the seed that the duties were built with.
 * Does no I/O and starts no threads. Not thread-safe: confined to the daemon's event loop.
 */
public final class DaemonCore {

    private final List<StateMachine> stateMachines;
    private final DecisionJournal journal;
    private final Consumer<Effect.Dispatch> dispatchListener;

    /**
     * Creates a core.
     *
     * @param duties the duties, in the order in which each event is offered
     * @param journal keeps the decisions that the duties explain
     * @param dispatchListener is told of each attempt that goes to a target
     */
    public DaemonCore(List<StateMachine> duties, DecisionJournal journal, Consumer<Effect.Dispatch> dispatchListener) {
        this.stateMachines = List.copyOf(duties);
        this.dispatchListener = Objects.requireNonNull(dispatchListener, "dispatchListener must not be null");
        this.journal = Objects.requireNonNull(journal, "journal must not be null");
    }

    /**
     * Handles one event.
     *
     * @param event what happened
     * @param nowMs the present time in ms since the epoch, never less than at an earlier event
     * @return what has to be done, in order
     */
    public List<Effect> on(Event event, long nowMs) {
        List<Effect> external = new ArrayList<>();
        Deque<Event> raised = new ArrayDeque<>(List.of(event));
        while (!raised.isEmpty()) {
            handle(raised.remove(), nowMs, raised, external);
        }
        return external;
    }

    private void handle(Event event, long nowMs, Deque<Event> raised, List<Effect> external) {
        Effects out = new Effects();
        for (StateMachine duty : stateMachines) {
            duty.on(event, nowMs, out);
        }
        for (Effect effect : out.list()) {
            if (effect instanceof Effect.Explain explain) {
                journal.record(explain);
                continue;
            }
            if (effect instanceof Effect.Raise raise) {
                raised.add(raise.event());
                continue;
            }
            if (effect instanceof Effect.Dispatch dispatch) {
                dispatchListener.accept(dispatch);
            }
            external.add(effect);
        }
    }

    /** Returns the duties in their order. */
    public List<StateMachine> stateMachines() {
        return stateMachines;
    }
}

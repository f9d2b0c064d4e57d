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
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.Verdict;

/**
 * The decision core of one daemon, which passes each event to all state machines and collects their effects.
 *
 * <p>Invariants: the effects depend only on the events, their times and the seed of the state machines; a state machine
 * that throws takes neither the effects nor the events of the others with it; a command that one of them fails to handle
 * is replied to, and ends as if its caller had disconnected. Performs no I/O and starts no threads.
 * Not thread-safe: confined to the daemon's event loop.
 */
public final class DaemonCore {

    /** The pause before a timer whose handling failed is due again, in ms, so that periodic work goes on. */
    private static final long FAILED_TIMER_PAUSE_MS = 1_000;

    /** The reply to a command that could not be handled; parts of it may have been. */
    private static final Refusal UNHANDLED =
            new Refusal(Verdict.MAY_HAVE_RUN, RefusalCode.TARGET_FAILED, "the daemon could not handle the request", 0);

    private final List<StateMachine> stateMachines;
    private final DecisionJournal journal;
    private final Consumer<Effect.Dispatch> dispatchListener;

    /**
     * Creates a core.
     *
     * @param stateMachines the state machines, in the order in which they receive each event
     * @param journal records the decisions that the state machines explain
     * @param dispatchListener is notified of each attempt that is sent to a target
     */
    public DaemonCore(
            List<StateMachine> stateMachines, DecisionJournal journal, Consumer<Effect.Dispatch> dispatchListener) {
        this.stateMachines = List.copyOf(stateMachines);
        this.dispatchListener = Objects.requireNonNull(dispatchListener, "dispatchListener must not be null");
        this.journal = Objects.requireNonNull(journal, "journal must not be null");
    }

    /**
     * Handles one event and all events that the state machines raise in response.
     *
     * @param event the event
     * @param nowMs the current time in ms since the epoch, never less than for an earlier event
     * @return the effects for the I/O layer to execute, in order
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
        for (StateMachine stateMachine : stateMachines) {
            handle(stateMachine, event, nowMs, out);
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

    private static void handle(StateMachine stateMachine, Event event, long nowMs, Effects out) {
        try {
            stateMachine.on(event, nowMs, out);
        } catch (RuntimeException | StackOverflowError e) {
            if (event instanceof Event.TimerDue due && due.key().stateMachine().equals(stateMachine.name())) {
                out.schedule(due.key(), nowMs + FAILED_TIMER_PAUSE_MS);
            }
            if (event instanceof Event.CommandReceived command) {
                out.reply(command.request(), UNHANDLED);
                out.add(new Effect.Raise(new Event.CallerDisconnected(command.request())));
            }
            out.add(new Effect.HandlingFailed(
                    stateMachine.name(), event.getClass().getSimpleName(), e));
        }
    }

    /** Returns the state machines in the order in which they receive events. */
    public List<StateMachine> stateMachines() {
        return stateMachines;
    }
}

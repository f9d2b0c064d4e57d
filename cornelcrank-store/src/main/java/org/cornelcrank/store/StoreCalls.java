package org.cornelcrank.store;

import java.util.HashMap;
import java.util.Map;

import org.cornelcrank.core.Duty;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.StoreAnswer;
import org.cornelcrank.core.StoreRequest;

/**
 * Numbers the requests of this daemon's duties to the store, and brings each answer to the one who asked.
 *
 * <p>Invariant: a listener is told exactly once. Not thread-safe: confined to the daemon's event loop.
 */
public final class StoreCalls implements Duty {

    private static final String NAME = "store";

    private final Map<Long, Listener> open = new HashMap<>();
    private long lastNumber;
    private long answeredAtMs = Long.MIN_VALUE / 2;
    private long failedAtMs = Long.MIN_VALUE / 2;
    private boolean available = true;

    /** Asks the store; the listener is told of the answer, {@link StoreAnswer.Unknown} at the worst. */
    public void call(StoreRequest request, Listener listener, Effects out) {
        long number = ++lastNumber;
        open.put(number, listener);
        out.add(new Effect.CallStore(number, request));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void on(Event event, long nowMs, Effects out) {
        if (event instanceof Event.StoreAnswered answered) {
            answered(answered, nowMs, out);
        }
    }

    private void answered(Event.StoreAnswered answered, long nowMs, Effects out) {
        Listener listener = open.remove(answered.number());
        boolean failed =
                answered.answer() instanceof StoreAnswer.NotDone || answered.answer() instanceof StoreAnswer.Unknown;
        if (failed) {
            failedAtMs = nowMs;
        } else {
            answeredAtMs = nowMs;
        }
        if (available == failed) {
            available = !failed;
            String text = available ? "the store answers again" : "the store fails: " + answered.answer();
            out.add(new Effect.StateChanged(NAME, text));
        }
        if (listener != null) {
            listener.answered(answered.answer(), nowMs, out);
        }
    }

    /** Returns the time in ms at which a request failed last. */
    public long failedAtMs() {
        return failedAtMs;
    }

    /** Returns whether the last request that ended was answered. */
    public boolean available() {
        return available;
    }

    /** Returns how many requests are under way. */
    public int size() {
        return open.size();
    }

    @Override
    public void dump(StateWriter writer, long nowMs) {
        writer.field("openCalls", open.size());
        writer.field("available", available);
        writer.field("answeredMsAgo", nowMs - answeredAtMs);
    }

    /** Is told of an answer. */
    public interface Listener {
        void answered(StoreAnswer answer, long nowMs, Effects out);
    }
}

package org.cornelcrank.store;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;

/**
 * Numbers the requests of this daemon's duties to the store, and brings each answer to the one who asked.
 *
 * <p>Once the store is back from an outage, all open reads are given up, as their connections may stay silent for
 * seconds more. Invariant: a listener is told exactly once. Not thread-safe: confined to the daemon's event loop.
 */
public final class StoreCalls implements StateMachine {

    private static final String NAME = "store";

    /** How long nothing must have been answered for an outage, in ms: single lost answers are shorter. */
    private static final long OUTAGE_MS = 1_000;

    private final Map<Long, OpenCall> open = new TreeMap<>();
    private long lastNumber;
    private long answeredAtMs = Long.MIN_VALUE / 2;
    private long failedAtMs = Long.MIN_VALUE / 2;
    private long unavailableSinceMs;
    private boolean available = true;

    /** Asks the store; the listener is told of the answer, {@link StoreResponse.Unknown} at the worst. */
    public void call(StoreRequest request, Listener listener, Effects out) {
        long number = ++lastNumber;
        boolean reads = request instanceof StoreRequest.Read || request instanceof StoreRequest.ReadNewest;
        open.put(number, new OpenCall(reads, listener));
        out.add(new Effect.CallStore(number, request));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void on(Event event, long nowMs, Effects out) {
        if (event instanceof Event.StoreResponded answered) {
            answered(answered, nowMs, out);
        }
    }

    private void answered(Event.StoreResponded answered, long nowMs, Effects out) {
        OpenCall call = open.remove(answered.number());
        boolean failed = answered.response() instanceof StoreResponse.NotDone
                || answered.response() instanceof StoreResponse.Unknown;
        if (failed) {
            failedAtMs = nowMs;
        } else {
            answeredAtMs = nowMs;
        }
        if (available == failed) {
            available = !failed;
            String text = available ? "the store answers again" : "the store fails: " + answered.response();
            out.add(new Effect.StateChanged(NAME, text));
            if (!available) {
                unavailableSinceMs = nowMs;
            } else if (nowMs - unavailableSinceMs >= OUTAGE_MS) {
                giveUpReads(nowMs, out);
            }
        }
        if (call != null) {
            call.listener().answered(answered.response(), nowMs, out);
        }
    }

    private void giveUpReads(long nowMs, Effects out) {
        for (long number : List.copyOf(open.keySet())) {
            if (open.get(number).reads()) {
                OpenCall call = open.remove(number);
                call.listener().answered(new StoreResponse.Unknown("asked during an outage that is over"), nowMs, out);
            }
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

    private record OpenCall(boolean reads, Listener listener) {}

    /** Is told of an answer. */
    public interface Listener {
        void answered(StoreResponse answer, long nowMs, Effects out);
    }
}

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
 * Numbers the store requests of this daemon's state machines, and dispatches each response to the listener of its
 * request.
 *
 * <p>When the store becomes available again after an outage, all open reads are abandoned and their transfers end,
 * because their connections may stay unresponsive for several seconds. Invariant: each listener is notified exactly
 * once, unless its call is cancelled. Not thread-safe: confined to the daemon's event loop.
 */
public final class StoreCalls implements StateMachine {

    static final String NAME = "store";

    /** The shortest unavailability that counts as an outage, in ms; a lost response alone causes a shorter one. */
    private static final long OUTAGE_MS = 1_000;

    private final Map<Long, OpenCall> openCalls = new TreeMap<>();
    private long lastNumber;
    private long lastResponseAtMs = Long.MIN_VALUE / 2;
    private long lastFailureAtMs = Long.MIN_VALUE / 2;
    private long unavailableSinceMs;
    private boolean available = true;

    /**
     * Sends a request; the listener receives the response, or {@link StoreResponse.Unknown} if there is none.
     *
     * @return the number under which the call can be cancelled
     */
    public long call(StoreRequest request, Listener listener, Effects out) {
        long number = ++lastNumber;
        boolean reads = request instanceof StoreRequest.Read || request instanceof StoreRequest.ReadNewest;
        openCalls.put(number, new OpenCall(reads, listener));
        out.add(new Effect.CallStore(number, request));
        return number;
    }

    /** Ends a call whose response is no longer needed; its listener is not notified. */
    public void cancel(long number, Effects out) {
        if (openCalls.remove(number) != null) {
            out.add(new Effect.CancelStoreCall(number));
        }
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void on(Event event, long nowMs, Effects out) {
        if (event instanceof Event.StoreResponded responded) {
            handleResponse(responded, nowMs, out);
        }
    }

    private void handleResponse(Event.StoreResponded responded, long nowMs, Effects out) {
        OpenCall call = openCalls.remove(responded.number());
        boolean failed = responded.response() instanceof StoreResponse.NotDone
                || responded.response() instanceof StoreResponse.Unknown;
        if (failed) {
            lastFailureAtMs = nowMs;
        } else {
            lastResponseAtMs = nowMs;
        }
        if (available == failed) {
            available = !failed;
            String text = available ? "the store answers again" : "the store fails: " + responded.response();
            out.add(new Effect.StateChanged(NAME, text));
            if (!available) {
                unavailableSinceMs = nowMs;
            } else if (nowMs - unavailableSinceMs >= OUTAGE_MS) {
                abandonReads(nowMs, out);
            }
        }
        if (call != null) {
            call.listener().responded(responded.response(), nowMs, out);
        }
    }

    private void abandonReads(long nowMs, Effects out) {
        for (long number : List.copyOf(openCalls.keySet())) {
            OpenCall call = openCalls.get(number);
            if (call != null && call.reads()) {
                cancel(number, out);
                call.listener()
                        .responded(
                                new StoreResponse.Unknown("the read was sent during a store outage that has ended"),
                                nowMs,
                                out);
            }
        }
    }

    /** Returns the time in ms of the last failed request. */
    public long lastFailureAtMs() {
        return lastFailureAtMs;
    }

    /** Returns whether the store responded to the request that completed last. */
    public boolean available() {
        return available;
    }

    /** Returns the number of requests in flight. */
    public int openCallCount() {
        return openCalls.size();
    }

    @Override
    public void dump(StateWriter writer, long nowMs) {
        writer.field("openCalls", openCalls.size());
        writer.field("available", available);
        writer.field("answeredMsAgo", nowMs - lastResponseAtMs);
    }

    private record OpenCall(boolean reads, Listener listener) {}

    /** Receives the response to a request. */
    public interface Listener {
        void responded(StoreResponse response, long nowMs, Effects out);
    }
}

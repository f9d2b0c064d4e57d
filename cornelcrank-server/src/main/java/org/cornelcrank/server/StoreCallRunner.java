package org.cornelcrank.server;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.StoreRequest;
import org.cornelcrank.core.StoreResponse;
import org.cornelcrank.server.loop.CoreLoop;
import org.cornelcrank.server.loop.EffectRunner;
import reactor.core.Disposable;
import reactor.core.Disposables;

/**
 * Sends the core's requests to the store, and ends those that it cancels.
 *
 * <p>Invariant: a call is tracked until its response has been passed to the core or it is cancelled. Thread-safe:
 * responses may arrive on any thread.
 */
final class StoreCallRunner implements EffectRunner {

    private final Map<Long, Disposable> open = new ConcurrentHashMap<>();
    private final StoreClient client;
    private final CoreLoop loop;

    StoreCallRunner(StoreClient client, CoreLoop loop) {
        this.client = Objects.requireNonNull(client, "client must not be null");
        this.loop = Objects.requireNonNull(loop, "loop must not be null");
    }

    @Override
    public boolean run(Effect effect) {
        if (effect instanceof Effect.CallStore call) {
            Disposable.Swap running = Disposables.swap();
            open.put(call.number(), running);
            running.update(client.call(call.request(), response -> responded(call.number(), response)));
            return true;
        }
        if (effect instanceof Effect.CancelStoreCall cancel) {
            Disposable call = open.remove(cancel.number());
            if (call != null) {
                call.dispose();
            }
            return true;
        }
        return false;
    }

    private void responded(long number, StoreResponse response) {
        open.remove(number);
        loop.post(new Event.StoreResponded(number, response));
    }

    /** Sends requests to the store. */
    interface StoreClient {

        /** Sends a request; returns what ends the call, after which the listener receives nothing. */
        Disposable call(StoreRequest request, Consumer<StoreResponse> listener);
    }
}

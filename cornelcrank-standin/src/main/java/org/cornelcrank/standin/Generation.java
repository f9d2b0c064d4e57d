package org.cornelcrank.standin;

import java.util.Objects;

/**
 * A text that an engine generates; it may be waiting, running, paused or finished.
 *
 * <p>Invariant: {@code generated} never decreases and never exceeds the requested number of tokens. Not thread-safe:
 * confined to the engine's worker.
 */
final class Generation {

    private final CompletionRequest request;
    private final boolean crashesEngine;
    private Listener listener;
    private int generated;
    private boolean prefilled;
    private long nextTokenAtUs;

    /** Receives the progress of a generation. */
    interface Listener {
        void started(int cachedPrefixes);

        void token(int index);

        void finished();
    }

    Generation(CompletionRequest request, boolean crashesEngine, Listener listener) {
        this.request = Objects.requireNonNull(request, "request must not be null");
        this.crashesEngine = crashesEngine;
        this.listener = Objects.requireNonNull(listener, "listener must not be null");
    }

    CompletionRequest request() {
        return request;
    }

    boolean crashesEngine() {
        return crashesEngine;
    }

    int generated() {
        return generated;
    }

    boolean finished() {
        return generated >= request.maxTokens();
    }

    boolean prefilled() {
        return prefilled;
    }

    long nextTokenAtUs() {
        return nextTokenAtUs;
    }

    void setNextTokenAt(long atUs) {
        nextTokenAtUs = atUs;
        prefilled = true;
    }

    void started(int cachedPrefixes) {
        listener.started(cachedPrefixes);
    }

    void emitToken() {
        listener.token(generated++);
        if (finished()) {
            listener.finished();
        }
    }

    Listener listener() {
        return listener;
    }

    /**
     * Continues for another caller, which first receives the tokens generated already, from index {@code fromToken} on.
     */
    void attach(Listener newListener, int fromToken) {
        listener = newListener;
        newListener.started(0);
        for (int index = fromToken; index < generated; index++) {
            newListener.token(index);
        }
        if (finished()) {
            newListener.finished();
        }
    }
}

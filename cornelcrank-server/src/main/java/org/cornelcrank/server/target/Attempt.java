package org.cornelcrank.server.target;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.Event;
import org.cornelcrank.server.loop.CoreLoop;
import reactor.core.Disposable;
import reactor.core.Disposables;

/**
 * A running attempt, which ends exactly once.
 *
 * <p>Invariant: it closes its transfers only when it is aborted. Thread-safe.
 */
final class Attempt {

    private final AttemptId id;
    private final CoreLoop loop;
    private final Consumer<AttemptId> onEnd;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final Disposable.Composite transfers = Disposables.composite();

    Attempt(AttemptId id, CoreLoop loop, Consumer<AttemptId> onEnd) {
        this.id = id;
        this.loop = loop;
        this.onEnd = onEnd;
    }

    /**
     * Adds a transfer that is disposed of when the attempt is aborted, at once if it has been.
     *
     * <p>A response may begin on another thread before the sender of its request goes on, so that the connection may be
     * added before the request.
     */
    void addTransfer(Disposable transfer) {
        transfers.add(transfer);
    }

    void started() {
        if (!ended.get()) {
            loop.post(new Event.AttemptStarted(id));
        }
    }

    void progressed(int tokens) {
        if (!ended.get()) {
            loop.post(new Event.AttemptProgressed(id, tokens));
        }
    }

    /** Ends the attempt; does nothing if it has ended. */
    void end(AttemptOutcome outcome) {
        if (ended.compareAndSet(false, true)) {
            onEnd.accept(id);
            loop.post(new Event.AttemptEnded(id, outcome));
        }
    }

    /** Ends the attempt and then closes its connection. */
    void abort(AttemptOutcome outcome) {
        end(outcome);
        transfers.dispose();
    }
}

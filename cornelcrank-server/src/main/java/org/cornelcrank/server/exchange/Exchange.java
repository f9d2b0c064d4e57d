package org.cornelcrank.server.exchange;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.RequestId;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * One caller's request from its arrival to the end of its answer.
 *
 * <p>Invariant: the caller gets exactly one answer; a whole answer only after the decision core has accepted it, a
 * streamed one from one attempt after another, never two at a time. Events wait at their target until the caller reads
 * on, so that a slow caller costs no memory here. Thread-safe.
 */
public final class Exchange {

    private final RequestId id;
    private final Optional<OutgoingRequest> outgoing;
    private final Sinks.One<CallerResponse> answer = Sinks.one();
    private final Sinks.Many<Flux<byte[]>> parts = Sinks.many().unicast().onBackpressureBuffer();
    private final AtomicBoolean streaming = new AtomicBoolean();
    private final AtomicReference<CallerResponse.Whole> heldAnswer = new AtomicReference<>();

    Exchange(RequestId id, Optional<OutgoingRequest> outgoing) {
        this.id = id;
        this.outgoing = outgoing;
    }

    public RequestId id() {
        return id;
    }

    /** Returns what a target is to get; empty for commands that the core answers itself. */
    public Optional<OutgoingRequest> outgoing() {
        return outgoing;
    }

    /** Returns the answer once there is one. */
    public Mono<CallerResponse> answer() {
        return answer.asMono();
    }

    /**
     * Adds the events of an attempt; the first call starts the caller's answer.
     *
     * @param events the events, subscribed to once the caller has read all earlier ones
     */
    public void stream(Flux<byte[]> events) {
        emitPart(events);
        if (streaming.compareAndSet(false, true)) {
            answer.tryEmitValue(new CallerResponse.Streamed(parts.asFlux().concatMap(part -> part, 1)));
        }
    }

    /**
     * Holds a target's whole answer until the core accepts it.
     *
     * @param whole the answer
     */
    public void hold(CallerResponse.Whole whole) {
        heldAnswer.set(whole);
    }

    /**
     * Ends the exchange with the core's reply.
     *
     * @param reply the last that the core says of this request
     * @param accepted whether the answer that came from the target stands
     * @param errorEvent the event that tells a caller whose stream has begun of the refusal
     */
    void end(CallerReply reply, boolean accepted, byte[] errorEvent) {
        if (streaming.get()) {
            if (!accepted) {
                emitPart(Flux.just(errorEvent));
            }
            parts.tryEmitComplete();
            return;
        }
        CallerResponse.Whole held = heldAnswer.get();
        answer.tryEmitValue(accepted && held != null ? held : new CallerResponse.FromCore(reply));
    }

    private void emitPart(Flux<byte[]> part) {
        parts.emitNext(part, Sinks.EmitFailureHandler.busyLooping(Duration.ofSeconds(1)));
    }
}

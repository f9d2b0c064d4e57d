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
 * State of one caller's request, from its receipt to the end of its response.
 *
 * <p>Invariant: the caller receives exactly one response: a complete response only after the decision core has accepted
 * it, or a stream that is fed by one attempt after another, never by two at a time. Backpressure leaves the events at
 * their target until the caller reads, so that a slow caller takes no memory here. Thread-safe.
 */
public final class Exchange {

    private final RequestId id;
    private final Optional<OutgoingRequest> outgoing;
    private final Sinks.One<CallerResponse> response = Sinks.one();
    private final Sinks.Many<Flux<byte[]>> parts = Sinks.many().unicast().onBackpressureBuffer();
    private final AtomicBoolean streaming = new AtomicBoolean();
    private final AtomicReference<CallerResponse.Complete> heldResponse = new AtomicReference<>();

    Exchange(RequestId id, Optional<OutgoingRequest> outgoing) {
        this.id = id;
        this.outgoing = outgoing;
    }

    public RequestId id() {
        return id;
    }

    /** Returns the request to a target; empty for commands that the core itself replies to. */
    public Optional<OutgoingRequest> outgoing() {
        return outgoing;
    }

    public Mono<CallerResponse> response() {
        return response.asMono();
    }

    /**
     * Adds the events of an attempt; the first call starts the response to the caller.
     *
     * @param events the events, subscribed to once the caller has read all earlier ones
     */
    public void stream(Flux<byte[]> events) {
        emitPart(events);
        if (streaming.compareAndSet(false, true)) {
            response.tryEmitValue(new CallerResponse.Streamed(parts.asFlux().concatMap(part -> part, 1)));
        }
    }

    /**
     * Holds a target's complete response until the core accepts it.
     *
     * @param complete the response
     */
    public void hold(CallerResponse.Complete complete) {
        heldResponse.set(complete);
    }

    /**
     * Ends the exchange with the core's reply.
     *
     * @param reply the core's reply
     * @param accepted whether the target's response was accepted
     */
    void end(CallerReply reply, boolean accepted) {
        CallerResponse.Complete held = heldResponse.get();
        response.tryEmitValue(accepted && held != null ? held : new CallerResponse.FromCore(reply));
    }

    /** Returns whether the response has started as a stream. */
    boolean streaming() {
        return streaming.get();
    }

    /** Completes a stream that has started. */
    void completeStream() {
        parts.tryEmitComplete();
    }

    /**
     * Ends a stream that has started, so that it does not look complete: its connection is closed behind the event.
     *
     * @param errorEvent the event that reports the failure
     */
    void breakStream(byte[] errorEvent) {
        emitPart(Flux.just(errorEvent).concatWith(Mono.error(new BrokenStreamException())));
        parts.tryEmitComplete();
    }

    private void emitPart(Flux<byte[]> part) {
        parts.emitNext(part, Sinks.EmitFailureHandler.busyLooping(Duration.ofSeconds(1)));
    }

    /** Closes the caller's connection before the end of the response. */
    private static final class BrokenStreamException extends RuntimeException {

        private static final long serialVersionUID = 1L;

        BrokenStreamException() {
            super("the stream ended before it was complete", null, false, false);
        }
    }
}

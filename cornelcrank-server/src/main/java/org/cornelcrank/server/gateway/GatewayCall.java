package org.cornelcrank.server.gateway;

import java.util.Objects;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.gateway.http.RequestHead;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * One caller's request from its arrival to the end of its answer.
 *
 * <p>Invariants: the caller gets exactly one answer; the events of a stream come in order, each once, also where several
 * targets made them. Not thread-safe: confined to the event loop.
 */
final class GatewayCall {

    private final RequestId id;
    private final RequestHead head;
    private final byte[] body;
    private final int maxRuns;
    private final long silencePatienceMs;
    private final long arrivedAtMs;
    private final Sinks.One<CallResponse> answer = Sinks.one();
    private final Sinks.Many<byte[]> events = Sinks.many().unicast().onBackpressureBuffer();
    private CallResponse.Whole held;
    private boolean streaming;
    private long lastEventId;
    private boolean ended;

    GatewayCall(RequestId id, RequestHead head, byte[] body, int maxRuns, long silencePatienceMs, long arrivedAtMs) {
        this.id = Objects.requireNonNull(id, "id must not be null");
        this.head = Objects.requireNonNull(head, "head must not be null");
        this.body = Objects.requireNonNull(body, "body must not be null");
        this.maxRuns = maxRuns;
        this.silencePatienceMs = silencePatienceMs;
        this.arrivedAtMs = arrivedAtMs;
        this.lastEventId = head.lastEventId().orElse(0);
    }

    RequestId id() {
        return id;
    }

    RequestHead head() {
        return head;
    }

    byte[] body() {
        return body;
    }

    /** Returns how often the request may run; zero where it may not run again. */
    int maxRuns() {
        return maxRuns;
    }

    /** Returns how long a target may stay silent, in ms; zero where the request may not run again. */
    long silencePatienceMs() {
        return silencePatienceMs;
    }

    long arrivedAtMs() {
        return arrivedAtMs;
    }

    /** Returns the answer once there is one. */
    Mono<CallResponse> answer() {
        return answer.asMono();
    }

    /** Returns whether the caller has got events. */
    boolean streaming() {
        return streaming;
    }

    /** Returns the event after which a further attempt has to go on, empty if none has been passed on. */
    OptionalLong resumeAfter() {
        return streaming ? OptionalLong.of(lastEventId) : head.lastEventId();
    }

    /** Returns the id of the last event that was passed on. */
    long lastEventId() {
        return lastEventId;
    }

    /** Passes an event on; the first one starts the answer with the head of the target that made it. */
    void event(int status, HttpHeaders headers, long eventId, byte[] event) {
        if (ended) {
            return;
        }
        if (!streaming) {
            streaming = true;
            answer.tryEmitValue(new CallResponse.Streamed(status, headers, events.asFlux()));
        }
        lastEventId = Math.max(lastEventId, eventId);
        events.tryEmitNext(event);
    }

    /** Holds a target's whole answer until the core accepts it, in place of one held before. */
    void hold(CallResponse.Whole whole) {
        held = whole;
    }

    /** Returns the answer that a target has given, null if there is none. */
    CallResponse.Whole held() {
        return held;
    }

    /** Forgets an answer that is not to be given. */
    void drop() {
        held = null;
    }

    /** Ends the call: completes or breaks off a stream, or else gives the answer. */
    void end(CallResponse last, boolean complete) {
        if (ended) {
            return;
        }
        ended = true;
        if (!streaming) {
            answer.tryEmitValue(last);
        } else if (complete) {
            events.tryEmitComplete();
        } else {
            events.tryEmitError(new BrokenStreamException());
        }
    }

    /** Closes the caller's connection before the end of the answer, so that it does not look complete. */
    static final class BrokenStreamException extends RuntimeException {

        private static final long serialVersionUID = 1L;

        BrokenStreamException() {
            super("the stream broke off", null, false, false);
        }
    }
}

package org.cornelcrank.server.gateway;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.gateway.http.RequestHead;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * State of one caller's request, from its receipt to the end of its response.
 *
 * <p>Invariants: the caller receives exactly one response; the events of a stream are sent in order, each once, even if
 * several targets produced them. A stream whose caller reads slowly holds little more than {@link #MAX_UNREAD_BYTES},
 * as its target is read no faster. Not thread-safe: confined to the event loop.
 */
final class GatewayCall {

    /** The number of unread bytes above which no more are taken from the target. */
    static final int MAX_UNREAD_BYTES = 256 * 1024;

    /** How many events are handed to the connection before it has written the first of them. */
    private static final int EVENTS_IN_FLIGHT = 8;

    private final RequestId id;
    private final RequestHead head;
    private final byte[] body;
    private final int maxRuns;
    private final boolean resumable;
    private final long readTimeoutMs;
    private final long receivedAtMs;
    private final Sinks.One<CallResponse> response = Sinks.one();
    private final Sinks.Many<byte[]> events = Sinks.many().unicast().onBackpressureBuffer();
    private CallResponse.Complete held;
    private boolean streaming;
    private long lastEventId;
    private boolean ended;
    private int failedRuns;
    private int unreadBytes;
    private Sinks.Empty<Void> callerAwaited = Sinks.empty();

    GatewayCall(
            RequestId id,
            RequestHead head,
            byte[] body,
            int maxRuns,
            boolean resumable,
            long readTimeoutMs,
            long receivedAtMs) {
        this.id = Objects.requireNonNull(id, "id must not be null");
        this.head = Objects.requireNonNull(head, "head must not be null");
        this.body = Objects.requireNonNull(body, "body must not be null");
        this.maxRuns = maxRuns;
        this.resumable = resumable;
        this.readTimeoutMs = readTimeoutMs;
        this.receivedAtMs = receivedAtMs;
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

    /** Returns how many times the request may run; zero if it must not be run again. */
    int maxRuns() {
        return maxRuns;
    }

    /** Returns whether another target may go on with the stream after the last event that was sent to the caller. */
    boolean resumable() {
        return resumable;
    }

    /** Returns the read timeout of a target, in ms; zero (no limit) if the request must not be run again. */
    long readTimeoutMs() {
        return readTimeoutMs;
    }

    long receivedAtMs() {
        return receivedAtMs;
    }

    Mono<CallResponse> response() {
        return response.asMono();
    }

    /** Returns whether events have been sent to the caller. */
    boolean streaming() {
        return streaming;
    }

    /**
     * Returns the id of the event after which a further attempt must resume; empty if it must start from the beginning.
     */
    OptionalLong resumeAfterEvent() {
        return streaming ? OptionalLong.of(lastEventId) : head.lastEventId();
    }

    /** Returns the id of the last event that was sent to the caller. */
    long lastEventId() {
        return lastEventId;
    }

    /** Sends an event to the caller; the first one starts the response with the status and headers of its target. */
    void sendEvent(int status, HttpHeaders headers, long eventId, byte[] event) {
        if (ended) {
            return;
        }
        if (!streaming) {
            streaming = true;
            response.tryEmitValue(new CallResponse.Streamed(status, headers, unreadEvents()));
        }
        lastEventId = Math.max(lastEventId, eventId);
        unreadBytes += event.length;
        events.tryEmitNext(event);
    }

    private Flux<byte[]> unreadEvents() {
        return events.asFlux().limitRate(EVENTS_IN_FLIGHT).doOnNext(event -> {
            unreadBytes -= event.length;
            if (unreadBytes <= MAX_UNREAD_BYTES) {
                callerAwaited.tryEmitEmpty();
            }
        });
    }

    /** Returns how many bytes of events the caller has not read yet. */
    int unreadBytes() {
        return unreadBytes;
    }

    /** Returns the end of the pause until the caller has read more of the stream; empty if it reads fast enough. */
    Optional<Mono<Void>> pause() {
        if (unreadBytes <= MAX_UNREAD_BYTES) {
            return Optional.empty();
        }
        callerAwaited = Sinks.empty();
        return Optional.of(callerAwaited.asMono());
    }

    void countFailedRun() {
        failedRuns++;
    }

    /** Returns how many runs have failed, apart from those whose target is gone. */
    int failedRuns() {
        return failedRuns;
    }

    /** Holds a target's complete response until the core accepts it, replacing one held before. */
    void hold(CallResponse.Complete response) {
        held = response;
    }

    /** Returns the held response, or null if there is none. */
    CallResponse.Complete held() {
        return held;
    }

    /** Discards the held response. */
    void discardHeld() {
        held = null;
    }

    /** Ends the call: completes or truncates a stream that was started, otherwise sends the given response. */
    void end(CallResponse last, boolean complete) {
        if (ended) {
            return;
        }
        ended = true;
        if (!streaming) {
            response.tryEmitValue(last);
        } else if (complete) {
            events.tryEmitComplete();
        } else {
            events.tryEmitError(new TruncatedStreamException());
        }
    }

    /** Closes the caller's connection before the end of the response, so that it does not look complete. */
    static final class TruncatedStreamException extends RuntimeException {

        private static final long serialVersionUID = 1L;

        TruncatedStreamException() {
            super("the stream ended before it was complete", null, false, false);
        }
    }
}

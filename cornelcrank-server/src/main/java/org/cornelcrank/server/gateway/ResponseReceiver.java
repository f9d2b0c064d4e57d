package org.cornelcrank.server.gateway;

import java.util.Optional;
import java.util.OptionalLong;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.gateway.http.RequestHead;
import org.cornelcrank.gateway.http.TargetResponseHead;
import reactor.core.publisher.Mono;

/**
 * Provides the request of one attempt and receives the target's response.
 *
 * <p>Not thread-safe: confined to the event loop.
 */
interface ResponseReceiver {

    RequestHead head();

    byte[] body();

    /** Returns the id of the event after which the attempt resumes; empty if it starts from the beginning. */
    OptionalLong resumeAfterEvent();

    /** Returns how long the target may make no progress, in ms; zero if only the attempt's overall timeout applies. */
    long readTimeoutMs();

    /**
     * Returns whether to keep waiting for a target that exceeds the read timeout but still listens, as no other target
     * may run the request.
     */
    boolean waitsForTarget();

    /**
     * Returns whether the request may be run again only a limited number of times, so that it matters whether its
     * target is gone.
     */
    boolean hasRunLimit();

    /** Receives a complete successful response. */
    void onCompleteResponse(TargetResponseHead head, byte[] body);

    /**
     * Receives the next bytes of a stream of events. The events before one that is rejected count as received.
     *
     * @throws IllegalStateException if an event is missing, malformed or too long
     */
    void onEventBytes(TargetResponseHead head, byte[] bytes);

    /** Returns how many new complete events have been received. */
    int receivedEvents();

    /** Returns how many bytes of events that have been received are held, in memory, for the caller or the core. */
    long heldBytes();

    /** Returns the end of the pause that a slow caller needs before more of a stream is received; empty if none. */
    Optional<Mono<Void>> pause();

    /** Receives the failure of the attempt, whatever its cause. */
    void onAttemptFailed(AttemptOutcome.Failed failure);

    /**
     * Receives the end of a stream of events.
     *
     * @throws IllegalStateException if it ends in the middle of an event
     */
    void onEventsEnd(TargetResponseHead head);

    /** Receives a target's own error response. */
    void onFailure(TargetResponseHead head, byte[] body);

    /** Returns whether any part of the response has been sent to a caller. */
    boolean reachedCaller();

    /** Returns the part of the response that the core receives; empty if the response is sent to a caller. */
    ByteString collected();
}

package org.cornelcrank.server.exchange;

import org.cornelcrank.core.CallerReply;
import reactor.core.publisher.Flux;

/**
 * Response to a caller.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface CallerResponse {

    /** Complete response of a target. */
    record Complete(int status, String contentType, byte[] body) implements CallerResponse {}

    /** Stream of a target's events; an event is never split. */
    record Streamed(Flux<byte[]> events) implements CallerResponse {}

    /** A reply of the decision core itself, which may be a refusal. */
    record FromCore(CallerReply reply) implements CallerResponse {}
}

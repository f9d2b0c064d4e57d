package org.cornelcrank.server.exchange;

import org.cornelcrank.core.CallerReply;
import reactor.core.publisher.Flux;

/**
 * How a caller is to be answered.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface CallerResponse {

    /** The target's whole answer. */
    record Whole(int status, String contentType, byte[] body) implements CallerResponse {}

    /** The target's events as they come; an event is never split. */
    record Streamed(Flux<byte[]> events) implements CallerResponse {}

    /** A reply of the decision core itself, which may be a refusal. */
    record FromCore(CallerReply reply) implements CallerResponse {}
}

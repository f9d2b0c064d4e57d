package org.cornelcrank.server.exchange;

import org.cornelcrank.core.CallerReply;
import reactor.core.publisher.Flux;

/**
 * How a caller is to be answered.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface Answer {

    /** The target's whole answer. */
    record Whole(int status, String contentType, byte[] body) implements Answer {}

    /** The target's events as they come; an event is never split. */
    record Streamed(Flux<byte[]> events) implements Answer {}

    /** A reply of the decision core itself, which may be a refusal. */
    record FromCore(CallerReply reply) implements Answer {}
}

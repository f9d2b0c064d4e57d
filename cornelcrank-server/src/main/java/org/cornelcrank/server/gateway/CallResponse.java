package org.cornelcrank.server.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import org.cornelcrank.core.Refusal;
import reactor.core.publisher.Flux;

/**
 * How a caller is answered.
 *
 * <p>Immutable by convention: nobody changes headers or bodies.
 */
sealed interface CallResponse {

    /** A target's whole answer, unchanged. */
    record Whole(int status, HttpHeaders headers, byte[] body) implements CallResponse {}

    /** A target's events as they come; an error breaks the answer off so that it does not look complete. */
    record Streamed(int status, HttpHeaders headers, Flux<byte[]> events) implements CallResponse {}

    /** A refusal of this system. */
    record Refused(Refusal refusal) implements CallResponse {}
}

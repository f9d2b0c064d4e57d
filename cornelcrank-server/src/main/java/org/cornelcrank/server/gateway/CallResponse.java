package org.cornelcrank.server.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import org.cornelcrank.core.Refusal;
import reactor.core.publisher.Flux;

/**
 * Response to a caller.
 *
 * <p>Immutable by convention: headers and bodies must not be modified.
 */
sealed interface CallResponse {

    /** Complete response of a target, forwarded unchanged. */
    record Complete(int status, HttpHeaders headers, byte[] body) implements CallResponse {}

    /** Stream of a target's events; an error closes the connection so that the response does not look complete. */
    record Streamed(int status, HttpHeaders headers, Flux<byte[]> events) implements CallResponse {}

    /** Refusal by this system. */
    record Refused(Refusal refusal) implements CallResponse {}
}

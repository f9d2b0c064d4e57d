package org.cornelcrank.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The head of a target's answer.
 *
 * <p>{@code notRun} says that the target states not to have run the request, {@code otherTarget} that another target has
 * the address. {@code ownRequest} says that the answer names the request that was sent. {@code signed} says that the
 * target vouches for the answer. {@code idleTimeoutMs} is how long the target keeps the connection, zero where it does not
 * say. {@code headers} are those for the caller. Immutable by convention: nobody changes the headers.
 */
public record TargetResponseHead(
        int status,
        boolean notRun,
        boolean otherTarget,
        boolean ownRequest,
        boolean signed,
        boolean events,
        long retryAfterMs,
        long idleTimeoutMs,
        HttpHeaders headers) {

    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    /** Returns whether the status tells of success. */
    public boolean success() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }
}

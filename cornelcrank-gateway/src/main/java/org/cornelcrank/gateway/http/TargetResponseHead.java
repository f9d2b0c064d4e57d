package org.cornelcrank.gateway.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The head of a target's response.
 *
 * <p>{@code notRun} is set if the target states that it has not run the request, {@code misdirected} if another
 * target now has the address, and {@code signed} if the target has signed the response. {@code leaving} is set if the
 * target states that it leaves. {@code rateLimit} is the rate of requests that the target states it accepts.
 * {@code idleTimeoutMs} is how long the target keeps the connection open, zero if unspecified. {@code headers} are
 * those to forward to the caller. Immutable by convention: the headers must not be changed.
 */
public record TargetResponseHead(
        int status,
        boolean notRun,
        boolean misdirected,
        ResponseId responseId,
        boolean signed,
        boolean events,
        boolean leaving,
        RateLimit rateLimit,
        long retryAfterMs,
        long idleTimeoutMs,
        HttpHeaders headers) {

    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    /** Returns whether the response belongs to the request that was sent; if not, nothing that it states holds. */
    public boolean matchesRequest() {
        return responseId == ResponseId.EQUAL;
    }

    /** Returns whether the status is a 2xx status. */
    public boolean success() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }
}

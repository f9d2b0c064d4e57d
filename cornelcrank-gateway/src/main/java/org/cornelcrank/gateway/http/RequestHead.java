package org.cornelcrank.gateway.http;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The head of a caller's request.
 *
 * <p>{@code uri} is the path with its query as the caller sent it. {@code deadlineMs} is how long the caller waits.
 * {@code prefixHashes} hold the hashes of ever longer heads of the prompt, shortest first. {@code maxAnswerTokens} is the
 * caller's limit, zero where it states none. {@code headers} are those that concern the request and not its connection.
 * Immutable by convention: nobody changes the headers.
 */
public record RequestHead(
        String requestId,
        String method,
        String uri,
        String host,
        OptionalLong deadlineMs,
        List<Long> prefixHashes,
        int promptTokens,
        int maxAnswerTokens,
        OptionalLong lastEventId,
        HttpHeaders headers) {

    public RequestHead {
        Objects.requireNonNull(requestId, "requestId must not be null");
        prefixHashes = List.copyOf(prefixHashes);
    }

    /** Returns the path without its query. */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}

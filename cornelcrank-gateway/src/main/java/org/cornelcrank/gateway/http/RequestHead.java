package org.cornelcrank.gateway.http;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The head of a caller's request.
 *
 * <p>{@code uri} is the path and query as sent by the caller. {@code deadlineMs} is how long the caller waits.
 * {@code prefixHashes} are the hashes of increasingly long prefixes of the prompt, shortest first.
 * {@code sharedParts} are the hashes of the parts that it may have in common with other prompts, in order.
 * {@code lastEventId} is the last event that the caller has of an interrupted stream, and {@code resumedRequestId} the
 * id of the request that brought its first event, empty if the caller names none. {@code maxResponseTokens} is the caller's limit of response tokens, zero if unspecified. {@code headers} are the
 * end-to-end headers, without those of the connection. Immutable by convention: the headers must not be changed.
 */
public record RequestHead(
        String requestId,
        String method,
        String uri,
        String host,
        OptionalLong deadlineMs,
        List<Long> prefixHashes,
        List<Long> sharedParts,
        int promptTokens,
        int maxResponseTokens,
        OptionalLong lastEventId,
        Optional<String> resumedRequestId,
        HttpHeaders headers) {

    public RequestHead {
        Objects.requireNonNull(requestId, "requestId must not be null");
        prefixHashes = List.copyOf(prefixHashes);
        sharedParts = List.copyOf(sharedParts);
    }

    /** Returns whether the caller has events of the stream already. */
    public boolean resumesStream() {
        return resumedRequestId.isPresent() || lastEventId.orElse(0) > 0;
    }

    /** Returns the id of the request that began the stream, this one's own if it begins or the caller names none. */
    public String streamId() {
        return resumedRequestId.orElse(requestId);
    }

    /** Returns the path without its query. */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}

package org.cornelcrank.server.exchange;

import java.util.List;

/**
 * Request sent to a target on behalf of a caller.
 *
 * <p>{@code path} includes the query. Immutable by convention: {@code body} must not be modified.
 */
public record OutgoingRequest(
        String method, String path, String contentType, byte[] body, boolean streaming, List<Long> prefixHashes) {

    public OutgoingRequest {
        prefixHashes = List.copyOf(prefixHashes);
    }
}

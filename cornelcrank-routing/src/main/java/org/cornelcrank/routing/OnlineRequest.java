package org.cornelcrank.routing;

import java.util.List;
import java.util.Objects;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;

/**
 * Routes one online request; the I/O layer holds the request and passes the response to the caller.
 *
 * <p>The reply is {@link OnlineEnded} after the complete response has been passed on, or a
 * {@link org.cornelcrank.core.Refusal}. {@code prefixHashes} holds the hashes of increasingly long prefixes of the
 * prompt, shortest first. {@code sharedParts} holds the hashes of the parts of the prompt that other requests may have
 * in common with it, in order. {@code fingerprint} is the hash of the body. {@code expectedTokens} is the caller's
 * limit for the response, zero if it sets none. Immutable, thus thread-safe.
 */
public record OnlineRequest(
        TeamPath workload,
        ServiceName service,
        Urgency urgency,
        long deadlineAtMs,
        boolean repeatable,
        boolean resumable,
        List<Long> prefixHashes,
        List<Long> sharedParts,
        long fingerprint,
        int expectedTokens,
        boolean streaming,
        RequestOptions options)
        implements CallerCommand {

    public OnlineRequest {
        Objects.requireNonNull(workload, "workload must not be null");
        Objects.requireNonNull(service, "service must not be null");
        Objects.requireNonNull(urgency, "urgency must not be null");
        prefixHashes = List.copyOf(prefixHashes);
        sharedParts = List.copyOf(sharedParts);
        if (expectedTokens < 0) {
            throw new IllegalArgumentException("expectedTokens must not be negative but was " + expectedTokens);
        }
    }
}

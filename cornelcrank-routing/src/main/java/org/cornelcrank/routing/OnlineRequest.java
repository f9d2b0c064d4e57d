package org.cornelcrank.routing;

import java.util.List;
import java.util.Objects;

import org.cornelcrank.core.CallerCommand;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;

/**
 * Asks for one online request to be run; the edge holds the request and passes the answer to the caller.
 *
 * <p>Answered by {@link OnlineEnded} once the answer has gone through, or by a {@link org.cornelcrank.core.Refusal}.
 * {@code prefixHashes} hold the hashes of ever longer heads of the prompt, shortest first. {@code fingerprint} is the hash
 * of the body. {@code expectedTokens} is the caller's limit for the answer, zero where it states none. Immutable, thus
 * thread-safe.
 */
public record OnlineRequest(
        TeamPath workload,
        ServiceName service,
        Urgency urgency,
        long deadlineAtMs,
        boolean repeatable,
        boolean resumable,
        List<Long> prefixHashes,
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
        if (expectedTokens < 0) {
            throw new IllegalArgumentException("expectedTokens must not be negative but was " + expectedTokens);
        }
    }
}

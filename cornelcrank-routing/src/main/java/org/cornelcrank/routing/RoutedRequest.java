package org.cornelcrank.routing;

import java.util.List;

import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;

/**
 * A request to run on one of the targets of a service.
 *
 * <p>{@code prefixHashes} holds the hashes of increasingly long prefixes of the prompt, shortest first; it is empty if
 * a cached prefix would save nothing. {@code sharedParts} holds the hashes of the parts of the prompt that other
 * requests may have in common with it, in order. {@code fingerprint} is the hash of the body, by which a request that crashes
 * targets is recognized. {@code resumable} indicates that an engine can resume an interrupted stream. Immutable, thus
 * thread-safe.
 */
public record RoutedRequest(
        RequestId id,
        TeamPath team,
        ServiceName service,
        Urgency urgency,
        long deadlineAtMs,
        boolean repeatable,
        boolean resumable,
        List<Long> prefixHashes,
        List<Long> sharedParts,
        long fingerprint,
        DispatchSource source,
        RequestOptions options) {

    public RoutedRequest {
        prefixHashes = List.copyOf(prefixHashes);
        sharedParts = List.copyOf(sharedParts);
    }
}

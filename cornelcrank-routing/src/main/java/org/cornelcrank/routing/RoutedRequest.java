package org.cornelcrank.routing;

import java.util.List;

import org.cornelcrank.core.DispatchSource;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Urgency;

/**
 * A request that is to run on one of the targets of a service.
 *
 * <p>{@code prefixHashes} hold the hashes of ever longer heads of the prompt, shortest first, empty where no cache is
 * worth seeking. {@code fingerprint} is the hash of the body, by which a request that crashes targets is known again.
 * {@code resumable} says that an engine can go on with a broken stream. Immutable, thus thread-safe.
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
        long fingerprint,
        DispatchSource source,
        RequestOptions options) {

    public RoutedRequest {
        prefixHashes = List.copyOf(prefixHashes);
    }
}

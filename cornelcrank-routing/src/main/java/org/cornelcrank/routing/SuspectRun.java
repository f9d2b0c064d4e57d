package org.cornelcrank.routing;

import java.util.List;
import java.util.OptionalLong;

import org.cornelcrank.core.ServiceName;

/**
 * A run that may have crashed its target.
 *
 * <p>{@code fingerprint} is empty if the run cannot be the cause of a crash. {@code sharedParts} holds the parts of its
 * prompt that may be the cause; it is empty if the target had generated more than the beginning of a response.
 * {@code suspected} indicates that the request was under suspicion already. Immutable, thus thread-safe.
 */
record SuspectRun(OptionalLong fingerprint, ServiceName service, List<Long> sharedParts, boolean suspected) {

    SuspectRun {
        sharedParts = List.copyOf(sharedParts);
    }
}

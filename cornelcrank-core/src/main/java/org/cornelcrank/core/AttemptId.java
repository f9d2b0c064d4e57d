package org.cornelcrank.core;

import java.util.Objects;

/**
 * Identifies one attempt to run a request on one target.
 *
 * <p>Invariant: never reused, not even after a restart of the host, because each start has a new incarnation.
 * Immutable, thus thread-safe.
 */
public record AttemptId(HostId host, long incarnation, long number) {

    public AttemptId {
        Objects.requireNonNull(host, "host must not be null");
    }

    @Override
    public String toString() {
        return host + "/" + Long.toString(incarnation, 36) + "/a" + Long.toString(number, 36);
    }
}

package org.cornelcrank.routing;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.DaemonIdentity;

/**
 * Generates the ids of this daemon's attempts and permits.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class AttemptIdGenerator {

    private final DaemonIdentity identity;
    private long last;

    AttemptIdGenerator(DaemonIdentity identity) {
        this.identity = identity;
    }

    AttemptId next() {
        return new AttemptId(identity.host(), identity.incarnation(), ++last);
    }
}

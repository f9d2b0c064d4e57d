package org.cornelcrank.routing;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.DaemonIdentity;

/**
 * Gives each attempt and permit of this daemon its id.
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

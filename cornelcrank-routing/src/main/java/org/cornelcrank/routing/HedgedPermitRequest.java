package org.cornelcrank.routing;

import java.util.Objects;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.HostId;

/**
 * One of several permit requests in flight for the same online request; the first one granted is used.
 *
 * <p>Immutable except for the state of the target.
 */
record HedgedPermitRequest(AttemptId attempt, TargetState target, HostId controller) {

    HedgedPermitRequest {
        Objects.requireNonNull(attempt, "attempt must not be null");
        Objects.requireNonNull(target, "target must not be null");
        Objects.requireNonNull(controller, "controller must not be null");
    }
}

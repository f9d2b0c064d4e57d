package org.cornelcrank.routing;

import java.util.Objects;

import org.cornelcrank.core.AttemptId;
import org.cornelcrank.core.HostId;

/**
 * One of several asks for a permit that are under way for the same request; the first that is granted is used.
 *
 * <p>Immutable but for the target's state.
 */
record HedgedPermitRequest(AttemptId attempt, TargetState target, HostId controller) {

    HedgedPermitRequest {
        Objects.requireNonNull(attempt, "attempt must not be null");
        Objects.requireNonNull(target, "target must not be null");
        Objects.requireNonNull(controller, "controller must not be null");
    }
}

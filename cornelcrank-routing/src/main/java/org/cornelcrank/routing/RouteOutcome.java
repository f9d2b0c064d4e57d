package org.cornelcrank.routing;

import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.TargetId;

/**
 * States how a routed request ended.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface RouteOutcome {

    /** A target answered, or refused the request for its own fault; {@code outcome} is the last attempt's. */
    record Answered(TargetId target, AttemptOutcome outcome) implements RouteOutcome {}

    /** The request is given up; the refusal says whether it may have run. */
    record GivenUp(Refusal refusal) implements RouteOutcome {}
}

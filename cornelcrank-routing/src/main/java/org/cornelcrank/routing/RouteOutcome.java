package org.cornelcrank.routing;

import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.TargetId;

/**
 * The outcome of a routed request.
 *
 * <p>Immutable, thus thread-safe.
 */
public sealed interface RouteOutcome {

    /**
     * A target responded, or rejected the request as invalid; {@code outcome} is that of the last attempt.
     *
     * <p>{@code attempts} counts all attempts including the last.
     */
    record TargetResponded(TargetId target, AttemptOutcome outcome, int attempts) implements RouteOutcome {

        /** Creates the outcome of a first attempt. */
        public TargetResponded(TargetId target, AttemptOutcome outcome) {
            this(target, outcome, 1);
        }
    }

    /** The request is given up; the refusal states whether it may have run. */
    record GivenUp(Refusal refusal) implements RouteOutcome {}
}

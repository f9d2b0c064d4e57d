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

    /**
     * A target answered, or refused the request for its own fault; {@code outcome} is the last attempt's.
     *
     * <p>{@code attempts} counts all attempts with the last.
     */
    record Answered(TargetId target, AttemptOutcome outcome, int attempts) implements RouteOutcome {

        /** Creates the outcome of a first attempt. */
        public Answered(TargetId target, AttemptOutcome outcome) {
            this(target, outcome, 1);
        }
    }

    /** The request is given up; the refusal says whether it may have run. */
    record GivenUp(Refusal refusal) implements RouteOutcome {}
}

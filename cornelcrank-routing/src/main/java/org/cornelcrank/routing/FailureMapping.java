package org.cornelcrank.routing;

import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.RefusalCode;

/**
 * Translates how an attempt ended for callers and for controllers.
 *
 * <p>Stateless, thus thread-safe.
 */
final class FailureMapping {

    private FailureMapping() {}

    /** Returns the code of the refusal that a caller gets for the failure. */
    static RefusalCode refusalCode(FailureKind kind) {
        return switch (kind) {
            case OVERLOADED -> RefusalCode.OVERLOADED;
            case TIMED_OUT -> RefusalCode.DEADLINE_EXCEEDED;
            case ANSWER_TOO_LARGE -> RefusalCode.TOO_LARGE;
            case CANCELLED -> RefusalCode.CANCELLED;
            default -> RefusalCode.TARGET_FAILED;
        };
    }

    /** Returns what became of the permit of an attempt that ended so. */
    static RoutingMessage.Use permitUse(AttemptOutcome outcome) {
        if (outcome instanceof AttemptOutcome.Failed failed) {
            return switch (failed.kind()) {
                case OVERLOADED -> RoutingMessage.Use.OVERLOADED;
                case CANCELLED -> RoutingMessage.Use.CANCELLED;
                default -> RoutingMessage.Use.FAILED;
            };
        }
        return RoutingMessage.Use.COMPLETED;
    }
}

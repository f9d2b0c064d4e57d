package org.cornelcrank.routing;

import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.RefusalCode;

/**
 * Maps the outcome of an attempt to the refusal code for the caller and to the use of the permit for the controller.
 *
 * <p>Stateless, thus thread-safe.
 */
final class FailureMapping {

    private FailureMapping() {}

    static RefusalCode refusalCode(FailureKind kind) {
        return switch (kind) {
            case OVERLOADED -> RefusalCode.OVERLOADED;
            case TIMED_OUT -> RefusalCode.DEADLINE_EXCEEDED;
            case ANSWER_TOO_LARGE -> RefusalCode.TOO_LARGE;
            case CANCELLED -> RefusalCode.CANCELLED;
            default -> RefusalCode.TARGET_FAILED;
        };
    }

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

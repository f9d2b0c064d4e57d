package org.cornelcrank.routing;

import java.util.Locale;

import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.Subject;

/**
 * Updates the health of a target after a failed attempt, and the suspicion against requests that may have crashed it.
 *
 * <p>Stateless, thus thread-safe.
 */
final class TargetFailures {

    private TargetFailures() {}

    static void apply(
            RoutingContext context,
            TargetState target,
            AttemptOutcome.Failed failure,
            SuspectRun run,
            long nowMs,
            Effects out) {
        boolean ejected = recordFailure(context, target, failure, run, nowMs, out);
        context.count("attempts-failed-" + failure.kind().name().toLowerCase(Locale.ROOT));
        if (ejected) {
            explainEjection(target, failure.kind(), nowMs, out);
        }
    }

    /** Records that a target was found to be gone after the attempts on it had ended. */
    static void targetGone(RoutingContext context, TargetState target, long nowMs, Effects out) {
        context.count("targets-gone");
        context.suspects().targetDown(target.id(), nowMs, out);
        if (ejectEverywhere(context, target, nowMs, out)) {
            explainEjection(target, FailureKind.TARGET_GONE, nowMs, out);
        }
    }

    private static boolean recordFailure(
            RoutingContext context,
            TargetState target,
            AttemptOutcome.Failed failure,
            SuspectRun run,
            long nowMs,
            Effects out) {
        return switch (failure.kind()) {
            case CONNECTION_REFUSED -> {
                context.suspects().targetDown(target.id(), nowMs, out);
                yield ejectEverywhere(context, target, nowMs, out);
            }
            case TARGET_GONE -> {
                context.suspects().connectionLost(target.id(), run, nowMs, out);
                context.suspects().targetDown(target.id(), nowMs, out);
                yield ejectEverywhere(context, target, nowMs, out);
            }
            case CONNECTION_LOST -> {
                context.suspects().connectionLost(target.id(), run, nowMs, out);
                yield target.health().attemptFailed(nowMs);
            }
            case TIMED_OUT -> {
                boolean noResponse = failure.tokens() == 0 && failure.status() == 0;
                yield noResponse
                        ? ejectEverywhere(context, target, nowMs, out)
                        : target.health().attemptFailed(nowMs);
            }
            case TARGET_ERROR -> target.health().attemptFailed(nowMs);
            default -> false;
        };
    }

    /** Ejects a target that does not respond, and publishes this to all daemons. */
    private static boolean ejectEverywhere(RoutingContext context, TargetState target, long nowMs, Effects out) {
        boolean newlyEjected = target.health().eject(nowMs);
        if (newlyEjected) {
            context.statusPublisher().down(target.id(), nowMs, out);
        }
        return newlyEjected;
    }

    private static void explainEjection(TargetState target, FailureKind kind, long nowMs, Effects out) {
        out.explain(Subject.Kind.TARGET, target.id(), nowMs, "ejected", "last failure " + kind);
        out.add(new Effect.StateChanged(RoutingStateMachine.NAME, "target " + target.id() + " ejected after " + kind));
    }
}

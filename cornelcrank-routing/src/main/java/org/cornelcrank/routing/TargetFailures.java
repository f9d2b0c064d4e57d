package org.cornelcrank.routing;

import java.util.Locale;
import java.util.Optional;

import org.cornelcrank.core.AttemptOutcome;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.FailureKind;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Subject;

/**
 * Updates the health of a target after a failed attempt, and the suspicion against requests that may have crashed it.
 *
 * <p>Stateless, thus thread-safe.
 */
final class TargetFailures {

    private TargetFailures() {}

    static void apply(RoutingContext context, FailedAttempt attempt, long nowMs, Effects out) {
        boolean ejected = attempt.relay().isPresent()
                ? recordRelayedFailure(context, attempt, attempt.relay().get(), nowMs, out)
                : recordFailure(context, attempt, nowMs, out);
        FailureKind kind = attempt.failure().kind();
        context.count("attempts-failed-" + kind.name().toLowerCase(Locale.ROOT));
        if (ejected) {
            explainEjection(attempt.target(), kind, nowMs, out);
        }
    }

    /** Records that this daemon could not connect to a target after the attempts on it had ended. */
    static void targetGone(RoutingContext context, TargetState target, long nowMs, Effects out) {
        context.count("targets-gone");
        context.paths().connectFailed(target, PathCheck.Cause.CONNECTION_LOST, nowMs, out);
    }

    private static boolean recordFailure(RoutingContext context, FailedAttempt attempt, long nowMs, Effects out) {
        TargetState target = attempt.target();
        AttemptOutcome.Failed failure = attempt.failure();
        return switch (failure.kind()) {
            case CONNECTION_REFUSED -> {
                if (failure.status() != 0) {
                    yield replaced(context, target, nowMs, out);
                }
                context.paths().connectFailed(target, PathCheck.Cause.CONNECT_FAILED, nowMs, out);
                yield false;
            }
            case TARGET_GONE -> {
                if (context.paths().relayed(target)) {
                    yield false;
                }
                context.suspects().connectionLost(target.id(), attempt.run(), nowMs, out);
                context.paths().connectFailed(target, PathCheck.Cause.CONNECTION_LOST, nowMs, out);
                yield false;
            }
            case CONNECTION_LOST -> {
                if (context.paths().relayed(target)) {
                    yield false;
                }
                context.suspects().connectionLost(target.id(), attempt.run(), nowMs, out);
                boolean ejected = target.health().attemptFailed(nowMs);
                context.paths().doubted(target, PathCheck.Cause.CONNECTION_LOST, nowMs, out);
                yield ejected;
            }
            case TIMED_OUT -> {
                // What was sent may have been lost with the way, so that the target may not have received it.
                if (context.paths().relayed(target) || context.paths().failedSince(target, attempt.dispatchedAtMs())) {
                    yield false;
                }
                if (!withoutResponse(failure)) {
                    yield target.health().attemptFailed(nowMs);
                }
                context.paths().doubted(target, PathCheck.Cause.UNRESPONSIVE, nowMs, out);
                yield target.health().eject(nowMs);
            }
            case TARGET_ERROR -> target.health().attemptFailed(nowMs);
            default -> false;
        };
    }

    /** Records a failure that may also be the fault of the daemon that relayed the attempt. */
    private static boolean recordRelayedFailure(
            RoutingContext context, FailedAttempt attempt, HostId relay, long nowMs, Effects out) {
        TargetState target = attempt.target();
        AttemptOutcome.Failed failure = attempt.failure();
        return switch (failure.kind()) {
            case PATH_LOST, RELAY_FAILED -> {
                context.paths().relayFailed(target, relay, failure.kind(), nowMs, out);
                yield false;
            }
            case CONNECTION_REFUSED -> target.health().eject(nowMs);
            case CONNECTION_LOST, TARGET_GONE -> {
                context.suspects().relayedConnectionLost(target.id(), attempt.run(), nowMs);
                context.paths().lostThroughRelay(target, relay, nowMs, out);
                yield target.health().attemptFailed(nowMs);
            }
            case TARGET_ERROR -> target.health().attemptFailed(nowMs);
                // Nothing shows whether a time-out is the target's fault or the relay's.
            default -> false;
        };
    }

    private static boolean withoutResponse(AttemptOutcome.Failed failure) {
        return failure.tokens() == 0 && failure.status() == 0;
    }

    /** Ejects a target at whose address another one has responded, and publishes this to all daemons. */
    private static boolean replaced(RoutingContext context, TargetState target, long nowMs, Effects out) {
        context.suspects().targetDown(target.id(), nowMs, out);
        boolean newlyEjected = target.health().ejectDown(nowMs);
        if (newlyEjected) {
            context.statusPublisher().unresponsive(target.id(), nowMs, out);
        }
        return newlyEjected;
    }

    private static void explainEjection(TargetState target, FailureKind kind, long nowMs, Effects out) {
        out.explain(Subject.Kind.TARGET, target.id(), nowMs, "ejected", "last failure " + kind);
        out.add(new Effect.StateChanged(RoutingStateMachine.NAME, "target " + target.id() + " ejected after " + kind));
    }

    /** A failed attempt; {@code relay} is empty if this daemon was connected to the target itself. */
    record FailedAttempt(
            TargetState target,
            Optional<HostId> relay,
            long dispatchedAtMs,
            AttemptOutcome.Failed failure,
            SuspectRun run) {}
}

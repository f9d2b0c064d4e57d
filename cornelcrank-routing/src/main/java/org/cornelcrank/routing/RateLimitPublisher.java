package org.cornelcrank.routing;

import java.util.OptionalDouble;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.Dissemination;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.Subject;

/**
 * Publishes to all daemons the rate of requests that a target states it accepts from all of them together, and the end
 * of such a limit.
 *
 * <p>Invariants: a statement replaces what is known only if its request was sent after that became known; a limit stays
 * in effect until a response states another or none, or the target starts anew, however long that takes. Not
 * thread-safe: confined to the daemon's event loop.
 */
final class RateLimitPublisher {

    static final String KEY_PREFIX = "rate-limit/";

    /** How long a fact reaches daemons that have just started, in ms; it is renewed by later responses. */
    private static final long LIFETIME_MS = 120_000;

    private static final long MIN_INTERVAL_MS = 200;
    private static final double MATERIAL_CHANGE = 0.05;

    private final Dissemination dissemination;

    RateLimitPublisher(Dissemination dissemination) {
        this.dissemination = dissemination;
    }

    /** Publishes what a response states, unless it is known already. */
    void responded(TargetState target, Event.TargetResponded responded, long nowMs, Effects out) {
        RateLimitRecord known = target.rateLimit();
        OptionalDouble stated = responded.requestsPerSecond();
        if (responded.sentAtMs() < known.knownAtMs() || !isNews(known, stated, nowMs)) {
            return;
        }
        String value = stated.isEmpty() ? "" : Double.toString(stated.getAsDouble());
        Fact fact = new Fact(
                RoutingStateMachine.NAME,
                KEY_PREFIX + target.id(),
                Math.max(nowMs, known.version() + 1),
                ByteString.copyFromUtf8(target.incarnation() + " " + value),
                LIFETIME_MS,
                Fact.Scope.EVERYWHERE);
        dissemination.publish(fact, nowMs, out);
    }

    private static boolean isNews(RateLimitRecord known, OptionalDouble stated, long nowMs) {
        OptionalDouble before = known.maxRequestsPerSecond();
        if (before.isEmpty() || stated.isEmpty()) {
            return before.isPresent() || stated.isPresent();
        }
        double change = Math.abs(stated.getAsDouble() - before.getAsDouble());
        long ageMs = nowMs - known.knownAtMs();
        return change > MATERIAL_CHANGE * before.getAsDouble() && ageMs >= MIN_INTERVAL_MS || ageMs >= LIFETIME_MS / 2;
    }

    /**
     * Applies another daemon's fact, or this daemon's own; ignores one about another incarnation of the target. Returns
     * whether it changes the limit.
     */
    static boolean factReceived(TargetState target, Fact fact, long nowMs, Effects out) {
        String[] parts = fact.value().toStringUtf8().split(" ", 2);
        if (parts.length != 2 || !parts[0].equals(Long.toString(target.incarnation()))) {
            return false;
        }
        OptionalDouble limit;
        try {
            limit = parts[1].isEmpty() ? OptionalDouble.empty() : OptionalDouble.of(Double.parseDouble(parts[1]));
        } catch (NumberFormatException e) {
            out.explain(Subject.Kind.TARGET, target.id(), nowMs, "rate limit ignored", "malformed fact: " + parts[1]);
            return false;
        }
        OptionalDouble before = target.rateLimit().maxRequestsPerSecond();
        target.limitRate(new RateLimitRecord(limit, nowMs, fact.version()));
        if (before.equals(limit)) {
            return false;
        }
        out.add(new Effect.StateChanged(
                RoutingStateMachine.NAME,
                "target " + target.id() + " accepts " + text(limit) + " requests/s from all daemons together after "
                        + text(before)));
        return true;
    }

    private static String text(OptionalDouble requestsPerSecond) {
        return requestsPerSecond.isEmpty() ? "any number of" : Double.toString(requestsPerSecond.getAsDouble());
    }
}

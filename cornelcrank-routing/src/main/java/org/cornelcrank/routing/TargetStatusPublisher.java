package org.cornelcrank.routing;

import com.google.protobuf.ByteString;
import org.cornelcrank.core.Dissemination;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.TargetId;

/**
 * Publishes a change of a target's status that this daemon observes first: that the target leaves, or that nothing
 * listens at its address.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class TargetStatusPublisher {

    static final String LEAVING_PREFIX = "leaving/";
    static final String DOWN_PREFIX = "down/";

    private static final String UNRESPONSIVE_SUFFIX = "/unresponsive";

    private static final long LEAVING_LIFETIME_MS = 30_000;

    private final HostId self;
    private final Dissemination dissemination;
    private final long downLifetimeMs;

    TargetStatusPublisher(HostId self, Dissemination dissemination, long downLifetimeMs) {
        this.self = self;
        this.dissemination = dissemination;
        this.downLifetimeMs = downLifetimeMs;
    }

    /** Publishes that the target leaves, unless a daemon has done so recently. */
    void leaving(TargetState target, long nowMs, Effects out) {
        if (target.leavingUntilMs() - nowMs > LEAVING_LIFETIME_MS / 2) {
            return;
        }
        ByteString incarnation = ByteString.copyFromUtf8(Long.toString(target.incarnation()));
        publish(LEAVING_PREFIX + target.id(), incarnation, LEAVING_LIFETIME_MS, nowMs, out);
    }

    /** Publishes that the target cannot be reached, as another daemon has confirmed. */
    void down(TargetId target, long nowMs, Effects out) {
        publishDown(target, self.value(), nowMs, out);
    }

    /** Publishes that the target accepts connections but does not respond. */
    void unresponsive(TargetId target, long nowMs, Effects out) {
        publishDown(target, self.value() + UNRESPONSIVE_SUFFIX, nowMs, out);
    }

    private void publishDown(TargetId target, String value, long nowMs, Effects out) {
        publish(DOWN_PREFIX + target, ByteString.copyFromUtf8(value), downLifetimeMs, nowMs, out);
    }

    /** Returns whether connecting to the target can refute another daemon's fact that it is down. */
    boolean refutable(Fact fact) {
        String value = fact.value().toStringUtf8();
        return !value.equals(self.value()) && !value.endsWith(UNRESPONSIVE_SUFFIX);
    }

    private void publish(String key, ByteString value, long lifetimeMs, long nowMs, Effects out) {
        Fact fact = new Fact(RoutingStateMachine.NAME, key, nowMs, value, lifetimeMs, Fact.Scope.EVERYWHERE);
        dissemination.publish(fact, nowMs, out);
    }

    /**
     * Applies another daemon's fact, or this daemon's own, that a target leaves; ignores one about another incarnation
     * of the target.
     */
    static void leavingReceived(TargetState target, Fact fact, long nowMs, Effects out) {
        String incarnation = fact.value().toStringUtf8();
        if (!incarnation.isEmpty() && !incarnation.equals(Long.toString(target.incarnation()))) {
            return;
        }
        if (target.leavingUntilMs() <= nowMs) {
            out.explain(Subject.Kind.TARGET, target.id(), nowMs, "gets no new work", "the target leaves");
            out.add(new Effect.StateChanged(RoutingStateMachine.NAME, "target " + target.id() + " leaves"));
        }
        target.leavingPublished(nowMs + fact.lifetimeMs());
    }
}

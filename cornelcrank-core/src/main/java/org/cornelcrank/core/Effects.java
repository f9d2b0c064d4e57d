package org.cornelcrank.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;

/**
 * Collects the effects that the state machines request while they handle one event.
 *
 * <p>Not thread-safe: confined to the handling of one event.
 */
public final class Effects {

    private final List<Effect> effects = new ArrayList<>();

    public void add(Effect effect) {
        effects.add(Objects.requireNonNull(effect, "effect must not be null"));
    }

    public void send(HostId to, PeerMessage message) {
        add(new Effect.Send(to, message, Effect.Delivery.CONNECTION));
    }

    public void sendDatagram(HostId to, PeerMessage message) {
        add(new Effect.Send(to, message, Effect.Delivery.DATAGRAM));
    }

    public void reply(RequestId request, CallerReply reply) {
        add(new Effect.Reply(request, reply));
    }

    public void schedule(TimerKey key, long dueAtMs) {
        add(new Effect.Schedule(key, dueAtMs));
    }

    public void explain(Subject.Kind kind, Object id, long nowMs, String decision, String reason) {
        add(new Effect.Explain(new Subject(kind, id.toString()), nowMs, decision, reason));
    }

    /** Returns an unmodifiable view of the effects collected so far, in order. */
    public List<Effect> list() {
        return Collections.unmodifiableList(effects);
    }
}

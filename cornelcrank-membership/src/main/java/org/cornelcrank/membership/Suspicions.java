package org.cornelcrank.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.TimerKey;

/**
 * Gives suspected members of the data centre time to refute, and declares them dead after it.
 *
 * <p>Invariant: a member is declared dead only in the incarnation in which it was suspected. A leaving member is watched in
 * the same way, though it is not shown as suspected. Not thread-safe: confined to the daemon's event loop.
 */
final class Suspicions {

    static final TimerKey TIMER = new TimerKey(MembershipStateMachine.NAME, "suspicion");

    /** How often each daemon that holds a suspicion tells the suspect, which answers it directly. */
    private static final int REMINDERS = 3;

    private final MemberRegistry registry;
    private final MembershipSettings settings;
    private final MetricRegistry metrics;
    private final TreeMap<HostId, Suspicion> open = new TreeMap<>();

    Suspicions(MemberRegistry registry, MembershipSettings settings, MetricRegistry metrics) {
        this.registry = registry;
        this.settings = settings;
        this.metrics = metrics;
    }

    /** A member did not answer; {@code patience} stretches the time to refute while this daemon itself may be at fault. */
    void raise(Member member, int patience, long nowMs, Effects out) {
        Suspicion raised = newSuspicion(member, patience, nowMs);
        if (open.putIfAbsent(member.host(), raised) == null) {
            metrics.counter("membership.suspicions").inc();
            out.explain(Subject.Kind.HOST, member.host(), nowMs, "suspect", "did not answer probes");
        }
        registry.judge(member.host(), MemberState.SUSPECT, nowMs, out);
        scheduleNext(out);
    }

    /** Follows what others say of members of this data centre. */
    void entryChanged(Member after, int patience, long nowMs, Effects out) {
        Suspicion suspicion = open.get(after.host());
        if (suspicion != null && (after.incarnation() > suspicion.incarnation || after.state() == MemberState.DEAD)) {
            open.remove(after.host());
        }
        boolean isLocal = after.location().dataCentre().equals(registry.localDataCentre());
        if (after.state() == MemberState.SUSPECT && isLocal && !open.containsKey(after.host())) {
            open.put(after.host(), newSuspicion(after, patience, nowMs));
            scheduleNext(out);
        }
    }

    /** The member was heard of itself: it lives, though others may not reach it. */
    void heardFrom(HostId host, long nowMs) {
        Suspicion suspicion = open.get(host);
        if (suspicion == null) {
            return;
        }
        boolean isLeaving = registry.known(host)
                .filter(member -> member.state() == MemberState.LEAVING)
                .isPresent();
        if (isLeaving) {
            open.remove(host);
        } else {
            long endsAtMs = Math.max(suspicion.endsAtMs, nowMs + settings.suspicionTimeoutMs());
            open.put(host, suspicion.endingAt(endsAtMs));
        }
    }

    /** This daemon did not run for a while, in which no refutation could reach it. */
    void extend(long byMs, Effects out) {
        open.replaceAll((host, suspicion) -> suspicion.endingAt(suspicion.endsAtMs + byMs));
        scheduleNext(out);
    }

    /** Reminds suspects, and declares those dead whose time to refute is over. */
    void review(long nowMs, Effects out) {
        remind(nowMs, out);
        expire(nowMs, out);
        scheduleNext(out);
    }

    int size() {
        return open.size();
    }

    private Suspicion newSuspicion(Member member, int patience, long nowMs) {
        long timeoutMs = settings.suspicionTimeoutMs() * patience;
        long remindEveryMs = timeoutMs / (REMINDERS + 1);
        return new Suspicion(member.incarnation(), nowMs + timeoutMs, nowMs + remindEveryMs, remindEveryMs);
    }

    private void remind(long nowMs, Effects out) {
        for (Map.Entry<HostId, Suspicion> entry : open.entrySet()) {
            if (entry.getValue().remindAtMs > nowMs) {
                continue;
            }
            entry.setValue(entry.getValue().reminded(nowMs));
            registry.known(entry.getKey()).ifPresent(suspect -> {
                GossipUpdates accusation = new GossipUpdates(List.of(suspect), List.of());
                out.sendDatagram(suspect.host(), new MembershipMessage.Gossip(accusation));
            });
        }
    }

    private void expire(long nowMs, Effects out) {
        List<HostId> due = new ArrayList<>();
        for (Map.Entry<HostId, Suspicion> entry : open.entrySet()) {
            if (entry.getValue().endsAtMs <= nowMs) {
                due.add(entry.getKey());
            }
        }
        for (HostId host : due) {
            open.remove(host);
            metrics.counter("membership.deaths-declared").inc();
            out.explain(Subject.Kind.HOST, host, nowMs, "declare dead", "did not refute the suspicion in time");
            registry.judge(host, MemberState.DEAD, nowMs, out);
        }
    }

    private void scheduleNext(Effects out) {
        open.values().stream()
                .mapToLong(suspicion -> Math.min(suspicion.endsAtMs, suspicion.remindAtMs))
                .min()
                .ifPresent(dueAtMs -> out.schedule(TIMER, dueAtMs));
    }

    private record Suspicion(long incarnation, long endsAtMs, long remindAtMs, long remindEveryMs) {

        Suspicion endingAt(long ms) {
            return new Suspicion(incarnation, ms, remindAtMs, remindEveryMs);
        }

        Suspicion reminded(long nowMs) {
            return new Suspicion(incarnation, endsAtMs, nowMs + remindEveryMs, remindEveryMs);
        }
    }
}

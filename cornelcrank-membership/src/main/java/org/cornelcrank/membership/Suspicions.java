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
 * Tracks the suspected members of the data centre, and declares them dead if they do not refute in time.
 *
 * <p>Invariant: a member is declared dead only in the incarnation in which it was suspected. A leaving member that does
 * not respond is tracked in the same way, but is not shown as suspect. Not thread-safe: confined to the daemon's event
 * loop.
 */
final class Suspicions {

    static final TimerKey TIMER = new TimerKey(MembershipStateMachine.NAME, "suspicion");

    /** How often each daemon sends an open suspicion to the suspect itself, which refutes it in reply. */
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

    /** Suspects a member; the multiplier extends the time to refute while the fault may be on this daemon's side. */
    void suspect(Member member, int timeoutMultiplier, long nowMs, Effects out) {
        Suspicion suspicion = newSuspicion(member, timeoutMultiplier, nowMs);
        if (open.putIfAbsent(member.host(), suspicion) == null) {
            metrics.counter("membership.suspicions").inc();
            out.explain(Subject.Kind.HOST, member.host(), nowMs, "suspect", "did not respond to probes");
        }
        registry.setState(member.host(), MemberState.SUSPECT, nowMs, out);
        scheduleNext(out);
    }

    /** Opens or closes suspicions according to updates from peers about members of this data centre. */
    void entryChanged(Member after, int timeoutMultiplier, long nowMs, Effects out) {
        Suspicion suspicion = open.get(after.host());
        if (suspicion != null && (after.incarnation() > suspicion.incarnation || after.state() == MemberState.DEAD)) {
            open.remove(after.host());
        }
        boolean isLocal = after.location().dataCentre().equals(registry.localDataCentre());
        if (after.state() == MemberState.SUSPECT && isLocal && !open.containsKey(after.host())) {
            open.put(after.host(), newSuspicion(after, timeoutMultiplier, nowMs));
            scheduleNext(out);
        }
    }

    /** Extends or closes the suspicion of a member after a message from it, even if peers cannot reach it. */
    void recordContact(HostId host, long nowMs) {
        Suspicion suspicion = open.get(host);
        if (suspicion == null) {
            return;
        }
        boolean isLeaving = registry.lastKnown(host)
                .filter(member -> member.state() == MemberState.LEAVING)
                .isPresent();
        if (isLeaving) {
            open.remove(host);
        } else {
            long endsAtMs = Math.max(suspicion.endsAtMs, nowMs + settings.suspicionTimeoutMs());
            open.put(host, suspicion.endingAt(endsAtMs));
        }
    }

    /** Extends all suspicions by the time for which this process was paused and could not receive refutations. */
    void extend(long byMs, Effects out) {
        open.replaceAll((host, suspicion) -> suspicion.endingAt(suspicion.endsAtMs + byMs));
        scheduleNext(out);
    }

    /** Sends reminders to suspects, and declares those dead whose time to refute is over. */
    void review(long nowMs, Effects out) {
        remind(nowMs, out);
        expire(nowMs, out);
        scheduleNext(out);
    }

    int size() {
        return open.size();
    }

    private Suspicion newSuspicion(Member member, int timeoutMultiplier, long nowMs) {
        long timeoutMs = settings.suspicionTimeoutMs() * timeoutMultiplier;
        long remindEveryMs = timeoutMs / (REMINDERS + 1);
        return new Suspicion(member.incarnation(), nowMs + timeoutMs, nowMs + remindEveryMs, remindEveryMs);
    }

    private void remind(long nowMs, Effects out) {
        for (Map.Entry<HostId, Suspicion> entry : open.entrySet()) {
            if (entry.getValue().remindAtMs > nowMs) {
                continue;
            }
            entry.setValue(entry.getValue().reminded(nowMs));
            registry.lastKnown(entry.getKey()).ifPresent(suspect -> {
                GossipUpdates reminder = new GossipUpdates(List.of(suspect), List.of());
                out.sendDatagram(suspect.host(), new MembershipMessage.Gossip(reminder));
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
            out.explain(Subject.Kind.HOST, host, nowMs, "declared dead", "did not refute the suspicion in time");
            registry.setState(host, MemberState.DEAD, nowMs, out);
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

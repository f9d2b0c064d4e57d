package org.cornelcrank.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.CorrelationId;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.TimerKey;

/**
 * Probes the members of the data centre one after another, in a new random order each round.
 *
 * <p>If a member does not acknowledge a direct probe, a few peers probe it indirectly; if that fails too, the member is
 * suspected. A probe that fails while no other message of the data centre arrives increases the timeout multiplier,
 * because the fault is then probably on this daemon's side.
 *
 * <p>Invariant: at most one probe is open at a time. Not thread-safe: confined to the daemon's event loop.
 */
final class Prober {

    static final TimerKey ROUND_TIMER = new TimerKey(MembershipStateMachine.NAME, "probe");
    static final TimerKey TIMEOUT_TIMER = new TimerKey(MembershipStateMachine.NAME, "probe-timeout");

    private static final int MAX_TIMEOUT_MULTIPLIER = 4;
    private static final int MAX_REQUESTED_PROBES = 64;

    private final MemberRegistry registry;
    private final Gossip gossip;
    private final Suspicions suspicions;
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private final Deque<HostId> round = new ArrayDeque<>();
    private final Map<Long, RequestedProbe> requestedProbes = new LinkedHashMap<>();
    private OpenProbe open;
    private long nextNumber;
    private int timeoutMultiplier = 1;
    private boolean contactSinceProbe;

    Prober(
            MemberRegistry registry,
            Gossip gossip,
            Suspicions suspicions,
            MembershipSettings settings,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.registry = registry;
        this.gossip = gossip;
        this.suspicions = suspicions;
        this.settings = settings;
        this.random = random;
        this.metrics = metrics;
        this.nextNumber = CorrelationId.numbersAfter(registry.self().incarnation()) + 1;
    }

    /** Schedules the first probe with random jitter, so that daemons that start together do not probe in lockstep. */
    void start(long nowMs, Effects out) {
        out.schedule(ROUND_TIMER, nowMs + 1 + random.nextLong(settings.probeIntervalMs()));
    }

    void probeNext(long nowMs, Effects out) {
        if (open != null) {
            fail(nowMs, out);
        }
        nextTarget().ifPresent(target -> probe(target, nowMs, out));
        out.schedule(ROUND_TIMER, nowMs + settings.probeIntervalMs() * timeoutMultiplier);
    }

    void probeTimedOut(long nowMs, Effects out) {
        if (open == null) {
            return;
        }
        if (open.indirect) {
            fail(nowMs, out);
            return;
        }
        open = new OpenProbe(open.number, open.target, true);
        List<Member> candidates = registry.localPeers().stream()
                .filter(member -> member.state() == MemberState.ALIVE)
                .filter(member -> !member.host().equals(open.target))
                .toList();
        for (Member helper : Gossip.pickRandom(candidates, settings.indirectProbes(), random)) {
            GossipUpdates updates = gossip.piggyback(nowMs);
            out.sendDatagram(helper.host(), new MembershipMessage.IndirectProbe(open.number, open.target, updates));
        }
        out.schedule(TIMEOUT_TIMER, nowMs + settings.indirectTimeoutMs() * timeoutMultiplier);
    }

    /** Drops the open probe without a result, because the acknowledgement may have been missed during a pause. */
    void abandonOpenProbe() {
        open = null;
    }

    void acknowledge(HostId from, long number, long nowMs, Effects out) {
        out.sendDatagram(from, new MembershipMessage.ProbeAck(number, updatesFor(from, nowMs)));
    }

    void probeOnBehalf(HostId from, MembershipMessage.IndirectProbe request, long nowMs, Effects out) {
        long number = nextNumber++;
        requestedProbes.put(number, new RequestedProbe(from, request.number()));
        if (requestedProbes.size() > MAX_REQUESTED_PROBES) {
            requestedProbes.remove(requestedProbes.keySet().iterator().next());
        }
        out.sendDatagram(request.target(), new MembershipMessage.Probe(number, updatesFor(request.target(), nowMs)));
    }

    void acknowledged(long number, long nowMs, Effects out) {
        RequestedProbe requestedProbe = requestedProbes.remove(number);
        if (requestedProbe != null) {
            GossipUpdates updates = gossip.piggyback(nowMs);
            out.sendDatagram(requestedProbe.from, new MembershipMessage.ProbeAck(requestedProbe.number, updates));
            return;
        }
        if (open == null || open.number != number) {
            return;
        }
        suspicions.recordContact(open.target, nowMs);
        open = null;
        timeoutMultiplier = Math.max(1, timeoutMultiplier - 1);
    }

    /** Records that a message from a member of this data centre has arrived. */
    void recordLocalContact() {
        contactSinceProbe = true;
    }

    int timeoutMultiplier() {
        return timeoutMultiplier;
    }

    private void probe(HostId target, long nowMs, Effects out) {
        open = new OpenProbe(nextNumber++, target, false);
        contactSinceProbe = false;
        metrics.counter("membership.probes-sent").inc();
        out.sendDatagram(target, new MembershipMessage.Probe(open.number, updatesFor(target, nowMs)));
        out.schedule(TIMEOUT_TIMER, nowMs + settings.directTimeoutMs() * timeoutMultiplier);
    }

    private void fail(long nowMs, Effects out) {
        HostId target = open.target;
        open = null;
        metrics.counter("membership.probes-failed").inc();
        registry.lastKnown(target)
                .filter(member -> member.state() != MemberState.DEAD)
                .ifPresent(member -> suspect(member, nowMs, out));
        timeoutMultiplier =
                contactSinceProbe ? timeoutMultiplier : Math.min(MAX_TIMEOUT_MULTIPLIER, timeoutMultiplier + 1);
    }

    private void suspect(Member member, long nowMs, Effects out) {
        suspicions.suspect(member, timeoutMultiplier, nowMs, out);
        out.sendDatagram(member.host(), new MembershipMessage.Gossip(updatesFor(member.host(), nowMs)));
    }

    /** Returns the updates to send to a member: the suspicion that it may refute, otherwise queued gossip. */
    private GossipUpdates updatesFor(HostId host, long nowMs) {
        return registry.lastKnown(host)
                .filter(member -> member.state() == MemberState.SUSPECT || member.state() == MemberState.DEAD)
                .map(suspected -> new GossipUpdates(List.of(suspected), List.of()))
                .orElseGet(() -> gossip.piggyback(nowMs));
    }

    private Optional<HostId> nextTarget() {
        while (!round.isEmpty()) {
            HostId host = round.removeFirst();
            if (isProbed(host)) {
                return Optional.of(host);
            }
        }
        List<Member> peers = registry.localPeers();
        for (Member peer : Gossip.pickRandom(peers, peers.size(), random)) {
            round.addLast(peer.host());
        }
        return Optional.ofNullable(round.pollFirst());
    }

    private boolean isProbed(HostId host) {
        return registry.lastKnown(host)
                .filter(member -> member.state() != MemberState.DEAD)
                .isPresent();
    }

    private record OpenProbe(long number, HostId target, boolean indirect) {}

    private record RequestedProbe(HostId from, long number) {}
}

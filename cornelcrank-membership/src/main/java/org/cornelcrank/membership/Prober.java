package org.cornelcrank.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.TimerKey;

/**
 * Probes the members of the data centre one after another, in a new random order each round; asks others to probe one that
 * does not answer, and suspects it if they get no answer either.
 *
 * <p>Probes that fail while nothing at all is heard make it more patient, since the fault is probably this daemon's own. Invariant: at most one probe
 * is open at a time. Not thread-safe: confined to the daemon's event loop.
 */
final class Prober {

    static final TimerKey ROUND_TIMER = new TimerKey(MembershipStateMachine.NAME, "probe");
    static final TimerKey TIMEOUT_TIMER = new TimerKey(MembershipStateMachine.NAME, "probe-timeout");

    private static final int MAX_PATIENCE = 4;
    private static final int MAX_RELAYED_PROBES = 64;

    private final MemberRegistry registry;
    private final Gossip gossip;
    private final Suspicions suspicions;
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private final Deque<HostId> round = new ArrayDeque<>();
    private final Map<Long, RelayedProbe> relayed = new LinkedHashMap<>();
    private OpenProbe open;
    private long nextNumber;
    private int patience = 1;
    private boolean heardSinceProbe;

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
    }

    /** Schedules the first round at a random time, so that daemons that start together do not probe together. */
    void start(long nowMs, Effects out) {
        out.schedule(ROUND_TIMER, nowMs + 1 + random.nextLong(settings.probeIntervalMs()));
    }

    void probeNext(long nowMs, Effects out) {
        if (open != null) {
            fail(nowMs, out);
        }
        nextTarget().ifPresent(target -> probe(target, nowMs, out));
        out.schedule(ROUND_TIMER, nowMs + settings.probeIntervalMs() * patience);
    }

    void timeOut(long nowMs, Effects out) {
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
            GossipUpdates news = gossip.piggyback(nowMs);
            out.sendDatagram(helper.host(), new MembershipMessage.IndirectProbe(open.number, open.target, news));
        }
        out.schedule(TIMEOUT_TIMER, nowMs + settings.indirectTimeoutMs() * patience);
    }

    /** Drops the open probe without a verdict; this daemon did not run while the answer may have come. */
    void abandon() {
        open = null;
    }

    void answer(HostId from, long number, long nowMs, Effects out) {
        out.sendDatagram(from, new MembershipMessage.ProbeAck(number, updatesFor(from, nowMs)));
    }

    void relay(HostId from, MembershipMessage.IndirectProbe request, long nowMs, Effects out) {
        long number = nextNumber++;
        relayed.put(number, new RelayedProbe(from, request.number()));
        if (relayed.size() > MAX_RELAYED_PROBES) {
            relayed.remove(relayed.keySet().iterator().next());
        }
        out.sendDatagram(request.target(), new MembershipMessage.Probe(number, updatesFor(request.target(), nowMs)));
    }

    void acknowledged(long number, long nowMs, Effects out) {
        RelayedProbe relayedProbe = relayed.remove(number);
        if (relayedProbe != null) {
            GossipUpdates news = gossip.piggyback(nowMs);
            out.sendDatagram(relayedProbe.from, new MembershipMessage.ProbeAck(relayedProbe.number, news));
            return;
        }
        if (open == null || open.number != number) {
            return;
        }
        suspicions.heardFrom(open.target, nowMs);
        open = null;
        patience = Math.max(1, patience - 1);
    }

    /** Some member of the data centre was heard of. */
    void heardLocal() {
        heardSinceProbe = true;
    }

    int patience() {
        return patience;
    }

    private void probe(HostId target, long nowMs, Effects out) {
        open = new OpenProbe(nextNumber++, target, false);
        heardSinceProbe = false;
        metrics.counter("membership.probes-sent").inc();
        out.sendDatagram(target, new MembershipMessage.Probe(open.number, updatesFor(target, nowMs)));
        out.schedule(TIMEOUT_TIMER, nowMs + settings.directTimeoutMs() * patience);
    }

    private void fail(long nowMs, Effects out) {
        HostId target = open.target;
        open = null;
        metrics.counter("membership.probes-failed").inc();
        registry.known(target)
                .filter(member -> member.state() != MemberState.DEAD)
                .ifPresent(member -> suspect(member, nowMs, out));
        patience = heardSinceProbe ? patience : Math.min(MAX_PATIENCE, patience + 1);
    }

    private void suspect(Member member, long nowMs, Effects out) {
        suspicions.raise(member, patience, nowMs, out);
        out.sendDatagram(member.host(), new MembershipMessage.Gossip(updatesFor(member.host(), nowMs)));
    }

    /** Returns news for a member: what it may have to refute, or else what has to be spread. */
    private GossipUpdates updatesFor(HostId host, long nowMs) {
        return registry.known(host)
                .filter(member -> member.state() == MemberState.SUSPECT || member.state() == MemberState.DEAD)
                .map(accused -> new GossipUpdates(List.of(accused), List.of()))
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
        return registry.known(host)
                .filter(member -> member.state() != MemberState.DEAD)
                .isPresent();
    }

    private record OpenProbe(long number, HostId target, boolean indirect) {}

    private record RelayedProbe(HostId from, long number) {}
}

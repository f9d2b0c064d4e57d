package org.cornelcrank.membership;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Dissemination;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.HostRole;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.MembershipListener;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.TimerKey;

/**
 * Detects which daemons are alive and disseminates facts among them, with a SWIM-style protocol.
 *
 * <p>Probes and gossip stay within a data centre; a few relays per data centre exchange summaries with the others. All
 * state is soft: at worst it is temporarily wrong. Not thread-safe: confined to the daemon's event loop.
 */
public final class MembershipStateMachine implements StateMachine, MembershipView, Dissemination {

    static final String NAME = "membership";

    /** A timer that is delayed by more than this indicates that the process was paused. */
    private static final long PAUSE_TOLERANCE_MS = 300;

    /** Without a message from this data centre for this long, the fault is probably on this daemon's side. */
    private static final long LOCAL_CONTACT_TIMEOUT_MS = 3_000;

    /** Larger sync deltas are not gossiped, because the peers receive the same entries by their own syncs. */
    private static final int MAX_GOSSIPED_SYNC_ENTRIES = 16;

    private static final TimerKey UNREACHABLE_TIMER = new TimerKey(NAME, "unreachable");

    private final MembershipSettings settings;
    private final MemberRegistry registry;
    private final FactTable facts;
    private final Gossip gossip;
    private final Suspicions suspicions;
    private final Prober prober;
    private final AntiEntropy antiEntropy;
    private final RelayExchange relays;
    private final TreeMap<DataCentreId, Long> unreachableUntilMs = new TreeMap<>();
    private boolean largeDelta;
    private boolean reportedFailed;
    private long lastLocalContactAtMs;
    private long expectedTimerAtMs = Long.MAX_VALUE;

    public MembershipStateMachine(
            DaemonIdentity identity,
            Map<HostId, String> seedAddresses,
            MembershipSettings settings,
            RandomGenerator random,
            MetricRegistry metrics) {
        Objects.requireNonNull(identity, "identity must not be null");
        Objects.requireNonNull(seedAddresses, "seedAddresses must not be null");
        Objects.requireNonNull(random, "random must not be null");
        Objects.requireNonNull(metrics, "metrics must not be null");
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.registry = new MemberRegistry(identity, seedAddresses, metrics);
        this.facts = new FactTable(settings.maxFacts(), metrics);
        this.gossip = new Gossip(registry, facts, settings, random, metrics);
        this.suspicions = new Suspicions(registry, settings, metrics);
        this.prober = new Prober(registry, gossip, suspicions, settings, random, metrics);
        this.antiEntropy = new AntiEntropy(registry, facts, settings, random, metrics);
        this.relays = new RelayExchange(registry, facts, antiEntropy, this::publish, settings, random, metrics);
        registry.observe(this::entryChanged);
        facts.subscribe(NAME, this::reachabilityReceived);
    }

    @Override
    public String name() {
        return NAME;
    }

    /** Registers a listener for membership changes; must be called before the daemon starts. */
    public void subscribe(MembershipListener listener) {
        registry.subscribe(listener);
    }

    @Override
    public void subscribe(String slice, FactListener listener) {
        facts.subscribe(slice, listener);
    }

    @Override
    public void publish(Fact fact, long nowMs, Effects out) {
        applyFact(fact, nowMs, out);
    }

    @Override
    public Member self() {
        return registry.self();
    }

    @Override
    public List<Member> members() {
        return registry.members();
    }

    @Override
    public Optional<Member> find(HostId host) {
        return registry.find(host);
    }

    @Override
    public Optional<String> address(HostId host) {
        return registry.address(host);
    }

    @Override
    public long version() {
        return registry.version();
    }

    @Override
    public void on(Event event, long nowMs, Effects out) {
        if (event instanceof Event.Started) {
            start(nowMs, out);
        } else if (event instanceof Event.TimerDue timer) {
            timerDue(timer.key(), nowMs, out);
        } else if (event instanceof Event.PeerMessageReceived received
                && received.message() instanceof MembershipMessage message) {
            messageReceived(received.from(), message, nowMs, out);
        } else if (event instanceof Event.HostListRead read) {
            hostListRead(read, nowMs, out);
        } else if (event instanceof Event.StopRequested) {
            registry.leave(nowMs, out);
            gossip.flush(nowMs, out);
            relays.sendUpdates(nowMs, out);
        }
    }

    @Override
    public void dump(StateWriter writer, long nowMs) {
        new MembershipDump(registry, facts, relays).write(writer, nowMs);
        writer.field("joined", antiEntropy.joined());
        writer.field("patience", prober.timeoutMultiplier());
        writer.field("openSuspicions", suspicions.size());
        writer.field("queuedNews", gossip.queued());
        writer.field("lastingBudgetBytes", gossip.lastingBudgetBytes(nowMs));
        writer.field("shortLivedBudgetBytes", gossip.shortLivedBudgetBytes(nowMs));
    }

    private void start(long nowMs, Effects out) {
        lastLocalContactAtMs = nowMs;
        relays.updateRole(nowMs, out);
        antiEntropy.offerNext(relays.isRelay(), nowMs, out);
        prober.start(nowMs, out);
        expectedTimerAtMs = nowMs + settings.probeIntervalMs();
    }

    private void timerDue(TimerKey key, long nowMs, Effects out) {
        if (!key.stateMachine().equals(NAME)) {
            return;
        }
        compensateForPause(nowMs, out);
        if (key.equals(Prober.ROUND_TIMER)) {
            prober.probeNext(nowMs, out);
            expectedTimerAtMs = nowMs + settings.probeIntervalMs() * prober.timeoutMultiplier();
        } else if (key.equals(Prober.TIMEOUT_TIMER)) {
            prober.probeTimedOut(nowMs, out);
        } else if (key.equals(Suspicions.TIMER)) {
            suspicions.review(nowMs, out);
        } else if (key.equals(Gossip.TIMER)) {
            gossip.flush(nowMs, out);
        } else if (key.equals(AntiEntropy.TIMER)) {
            facts.removeExpired(nowMs);
            registry.removeDead(nowMs, settings.deadRetentionMs(), settings.maxDeadMembers());
            antiEntropy.offerNext(relays.isRelay(), nowMs, out);
        } else if (key.equals(RelayExchange.ROUND_TIMER)) {
            relays.runRound(hasLocalContact(nowMs), nowMs, out);
        } else if (key.equals(RelayExchange.UPDATES_TIMER)) {
            relays.sendUpdates(nowMs, out);
        } else if (key.equals(UNREACHABLE_TIMER)) {
            expireUnreachable(nowMs, out);
        }
    }

    /** Extends the timeouts of the peers by the time for which this process was paused, if it was. */
    private void compensateForPause(long nowMs, Effects out) {
        long lateMs = nowMs - expectedTimerAtMs;
        if (lateMs <= PAUSE_TOLERANCE_MS) {
            return;
        }
        expectedTimerAtMs = nowMs;
        lastLocalContactAtMs = nowMs;
        prober.abandonOpenProbe();
        suspicions.extend(lateMs, out);
        relays.restartHeartbeatTimeouts(nowMs);
        out.add(new Effect.StateChanged(NAME, "process was paused for " + lateMs + " ms"));
    }

    private boolean hasLocalContact(long nowMs) {
        return registry.localPeers().isEmpty() || nowMs - lastLocalContactAtMs <= LOCAL_CONTACT_TIMEOUT_MS;
    }

    private void messageReceived(HostId from, MembershipMessage message, long nowMs, Effects out) {
        suspicions.recordContact(from, nowMs);
        reportedFailed = false;
        handle(from, message, nowMs, out);
        if (reportedFailed) {
            GossipUpdates refutation = new GossipUpdates(List.of(registry.self()), List.of());
            out.sendDatagram(from, new MembershipMessage.Gossip(refutation));
        }
    }

    private void handle(HostId from, MembershipMessage message, long nowMs, Effects out) {
        boolean isLocal = registry.lastKnown(from)
                .filter(member -> member.location().dataCentre().equals(registry.localDataCentre()))
                .isPresent();
        if (isLocal) {
            lastLocalContactAtMs = nowMs;
            prober.recordLocalContact();
        }
        if (message instanceof MembershipMessage.Probe probe) {
            apply(probe.updates(), nowMs, out);
            prober.acknowledge(from, probe.number(), nowMs, out);
        } else if (message instanceof MembershipMessage.ProbeAck ack) {
            apply(ack.updates(), nowMs, out);
            prober.acknowledged(ack.number(), nowMs, out);
        } else if (message instanceof MembershipMessage.IndirectProbe request) {
            apply(request.updates(), nowMs, out);
            prober.probeOnBehalf(from, request, nowMs, out);
        } else if (message instanceof MembershipMessage.Gossip carried) {
            apply(carried.updates(), nowMs, out);
        } else if (message instanceof MembershipMessage.RelaySummary summary) {
            summaryReceived(summary, nowMs, out);
        } else {
            syncReceived(from, message, nowMs, out);
        }
    }

    private void syncReceived(HostId from, MembershipMessage message, long nowMs, Effects out) {
        if (message instanceof MembershipMessage.SyncOffer offer) {
            registry.apply(offer.sender(), nowMs, out);
            antiEntropy.compare(offer.sender(), offer.hashes(), nowMs, out);
        } else if (message instanceof MembershipMessage.SyncDigest digest) {
            registry.apply(digest.sender(), nowMs, out);
            antiEntropy.replyToDigest(digest, nowMs, out);
        } else if (message instanceof MembershipMessage.SyncDelta delta) {
            applySyncDelta(delta.updates(), nowMs, out);
            antiEntropy.sendRequested(from, delta, nowMs, out);
        }
    }

    private void summaryReceived(MembershipMessage.RelaySummary summary, long nowMs, Effects out) {
        relays.setUpdatesOrigin(summary.sender().location().dataCentre());
        registry.apply(summary.sender(), nowMs, out);
        apply(summary.updates(), nowMs, out);
        relays.setUpdatesOrigin(null);
        relays.heartbeatsReceived(summary, nowMs, out);
        if (!summary.hashes().equals(DigestHashes.NONE)) {
            antiEntropy.compare(summary.sender(), summary.hashes(), nowMs, out);
        }
    }

    private void hostListRead(Event.HostListRead read, long nowMs, Effects out) {
        Map<HostId, HostEntry> daemons = new TreeMap<>();
        for (HostEntry entry : read.hosts()) {
            if (entry.role() == HostRole.ENTRY) {
                daemons.put(new HostId(entry.name()), entry);
            }
        }
        registry.hostListRead(daemons, nowMs, out);
    }

    private void applySyncDelta(GossipUpdates updates, long nowMs, Effects out) {
        largeDelta = updates.members().size() + updates.facts().size() > MAX_GOSSIPED_SYNC_ENTRIES;
        if (largeDelta) {
            antiEntropy.markBehind();
        }
        apply(updates, nowMs, out);
        largeDelta = false;
    }

    private void apply(GossipUpdates updates, long nowMs, Effects out) {
        for (Member member : updates.members()) {
            reportedFailed |= reportsSelfFailed(member);
            registry.apply(member, nowMs, out);
        }
        for (Fact fact : updates.facts()) {
            applyFact(fact, nowMs, out);
        }
    }

    private boolean reportsSelfFailed(Member member) {
        boolean isSelf = member.host().equals(registry.self().host());
        return isSelf && (member.state() == MemberState.SUSPECT || member.state() == MemberState.DEAD);
    }

    private void applyFact(Fact fact, long nowMs, Effects out) {
        if (!facts.apply(fact, nowMs, out)) {
            return;
        }
        if (!largeDelta) {
            gossip.factChanged(FactKey.of(fact), nowMs, out);
        }
        relays.factChanged(fact, nowMs, out);
    }

    private void entryChanged(Member before, Member after, long nowMs, Effects out) {
        boolean isSelf = after.host().equals(registry.self().host());
        if (!largeDelta || isSelf) {
            gossip.memberChanged(after, nowMs, out);
        }
        if (!isSelf) {
            suspicions.entryChanged(after, prober.timeoutMultiplier(), nowMs, out);
        }
        relays.memberChanged(before, after, nowMs, out);
        boolean isLocal = after.location().dataCentre().equals(registry.localDataCentre());
        if (isLocal && (before == null || before.state() != after.state()) && after.state() != MemberState.SUSPECT) {
            out.add(new Effect.StateChanged(
                    NAME, after.host() + " is " + after.state() + " in incarnation " + after.incarnation()));
        }
    }

    private void reachabilityReceived(Fact fact, long nowMs, Effects out) {
        if (!fact.key().startsWith(RelayExchange.UNREACHABLE_PREFIX)) {
            return;
        }
        DataCentreId dataCentre = new DataCentreId(fact.key().substring(RelayExchange.UNREACHABLE_PREFIX.length()));
        if (!RelayExchange.marksUnreachable(fact)) {
            unreachableUntilMs.remove(dataCentre);
            registry.setUnreachable(dataCentre, false, nowMs, out);
            return;
        }
        unreachableUntilMs.put(dataCentre, nowMs + fact.lifetimeMs());
        registry.setUnreachable(dataCentre, true, nowMs, out);
        out.schedule(UNREACHABLE_TIMER, nowMs + fact.lifetimeMs());
        relays.refuteUnreachable(dataCentre, nowMs, out);
    }

    private void expireUnreachable(long nowMs, Effects out) {
        for (DataCentreId dataCentre : List.copyOf(unreachableUntilMs.keySet())) {
            if (unreachableUntilMs.get(dataCentre) <= nowMs) {
                unreachableUntilMs.remove(dataCentre);
                registry.setUnreachable(dataCentre, false, nowMs, out);
            }
        }
        unreachableUntilMs.values().stream()
                .min(Long::compare)
                .ifPresent(dueAtMs -> out.schedule(UNREACHABLE_TIMER, dueAtMs));
    }
}

package org.cornelcrank.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.RendezvousHash;
import org.cornelcrank.core.TimerKey;

/**
 * Exchanges summaries with other data centres while this daemon is one of the few relays of its own.
 *
 * <p>Relays pass on news at once, and compare hashes and heartbeats of the data centres in each round. A heartbeat that
 * reaches a data centre over any way counts; one that does not come on for a while makes the relays publish a fact, by
 * which all daemons of this data centre show the members of the other one as dead. Not thread-safe: confined to the daemon's
 * event loop.
 */
final class RelayExchange {

    static final TimerKey ROUND_TIMER = new TimerKey(MembershipStateMachine.NAME, "relay");
    static final TimerKey UPDATES_TIMER = new TimerKey(MembershipStateMachine.NAME, "relay-news");
    static final String UNREACHABLE_PREFIX = "unreachable/";

    private static final int MAX_UPDATES_BYTES = 16 * 1024;
    private static final long UPDATES_DELAY_MS = 50;
    private static final long UNREACHABLE_LIFETIME_MS = 15_000;
    private static final long UNREACHABLE_RENEWAL_MS = 4_000;
    private static final ByteString UNREACHABLE = ByteString.copyFromUtf8("1");
    private static final ByteString REACHABLE = ByteString.copyFromUtf8("0");

    private final MemberRegistry registry;
    private final FactTable facts;
    private final AntiEntropy antiEntropy;
    private final Publisher publisher;
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private final TreeMap<DataCentreId, GossipUpdateQueue> updatesByDataCentre = new TreeMap<>();
    private final TreeMap<DataCentreId, Heartbeat> heartbeats = new TreeMap<>();
    private final TreeMap<DataCentreId, Long> publishedAtMs = new TreeMap<>();
    private DataCentreId updatesOrigin;
    private boolean relay;
    private boolean updatesScheduled;
    private long round;

    RelayExchange(
            MemberRegistry registry,
            FactTable facts,
            AntiEntropy antiEntropy,
            Publisher publisher,
            MembershipSettings settings,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.registry = registry;
        this.facts = facts;
        this.antiEntropy = antiEntropy;
        this.publisher = publisher;
        this.settings = settings;
        this.random = random;
        this.metrics = metrics;
    }

    boolean isRelay() {
        return relay;
    }

    /** Takes up or gives up the role according to the present members of the data centre. */
    void reviewRole(long nowMs, Effects out) {
        boolean before = relay;
        relay = relaysOf(registry.localDataCentre()).contains(registry.self().host());
        if (relay && !before) {
            heartbeats.clear();
            out.schedule(ROUND_TIMER, nowMs + random.nextLong(settings.relayIntervalMs()));
        }
        if (!relay) {
            updatesByDataCentre.clear();
        }
    }

    /** Says from which data centre the following changes came, so that they are not sent back there; null for none. */
    void setUpdatesOrigin(DataCentreId dataCentre) {
        updatesOrigin = dataCentre;
    }

    void memberChanged(Member before, Member after, long nowMs, Effects out) {
        boolean isLocal = after.location().dataCentre().equals(registry.localDataCentre());
        if (isLocal) {
            reviewRole(nowMs, out);
        }
        boolean onlySuspected = after.state() == MemberState.SUSPECT && before != null;
        if (relay && !onlySuspected) {
            for (GossipUpdateQueue queue : queuesForUpdates()) {
                queue.add(after.host(), 1);
            }
            scheduleUpdates(nowMs, out);
        }
    }

    void factChanged(Fact fact, long nowMs, Effects out) {
        if (relay && fact.scope() == Fact.Scope.EVERYWHERE) {
            for (GossipUpdateQueue queue : queuesForUpdates()) {
                queue.add(FactKey.of(fact), 1);
            }
            scheduleUpdates(nowMs, out);
        }
    }

    /** Passes on news that came in lately. */
    void sendUpdates(long nowMs, Effects out) {
        updatesScheduled = false;
        if (!relay) {
            return;
        }
        for (Map.Entry<DataCentreId, GossipUpdateQueue> entry : updatesByDataCentre.entrySet()) {
            GossipUpdates news = entry.getValue().take(MAX_UPDATES_BYTES, nowMs);
            if (!news.isEmpty()) {
                counterpart(entry.getKey()).ifPresent(to -> send(to, news, Map.of(), DigestHashes.NONE, out));
            }
        }
        if (updatesByDataCentre.values().stream().anyMatch(queue -> !queue.isEmpty())) {
            scheduleUpdates(nowMs, out);
        }
    }

    /** Sends heartbeats and hashes to a relay of each other data centre, and heartbeats to the other local relays. */
    void runRound(boolean hearsLocalPeers, long nowMs, Effects out) {
        if (!relay) {
            return;
        }
        round++;
        heartbeats.put(registry.localDataCentre(), new Heartbeat(nowMs, nowMs));
        DigestHashes hashes = antiEntropy.hashes(nowMs);
        Map<DataCentreId, Long> sentAtMs = heartbeatTimes();
        for (DataCentreId dataCentre : registry.dataCentres()) {
            if (!dataCentre.equals(registry.localDataCentre())) {
                counterpart(dataCentre).ifPresent(to -> send(to, GossipUpdates.NONE, sentAtMs, hashes, out));
                reviewReachability(dataCentre, hearsLocalPeers, nowMs, out);
            }
        }
        for (HostId other : relaysOf(registry.localDataCentre())) {
            if (!other.equals(registry.self().host())) {
                send(other, GossipUpdates.NONE, sentAtMs, DigestHashes.NONE, out);
            }
        }
        out.schedule(ROUND_TIMER, nowMs + settings.relayIntervalMs());
    }

    /** This daemon did not run for a while, in which no heartbeat could reach it. */
    void forgive(long nowMs) {
        heartbeats.replaceAll((dataCentre, heartbeat) -> new Heartbeat(heartbeat.sentAtMs, nowMs));
    }

    /** Takes heartbeats that a relay sent, or hands them to a local relay if this daemon is none. */
    void takeHeartbeats(MembershipMessage.RelaySummary summary, long nowMs, Effects out) {
        if (relay) {
            summary.heartbeatsByDataCentre().forEach((dataCentre, sentAtMs) -> take(dataCentre, sentAtMs, nowMs));
            return;
        }
        boolean fromOutside = !summary.sender().location().dataCentre().equals(registry.localDataCentre());
        List<HostId> relays = relaysOf(registry.localDataCentre());
        if (fromOutside && !summary.heartbeatsByDataCentre().isEmpty() && !relays.isEmpty()) {
            send(relays.get(0), GossipUpdates.NONE, summary.heartbeatsByDataCentre(), DigestHashes.NONE, out);
        }
    }

    /** Contradicts another relay's word that a data centre is unreachable if this one hears of it. */
    void contradictIfHeard(DataCentreId dataCentre, long nowMs, Effects out) {
        Heartbeat heartbeat = heartbeats.get(dataCentre);
        if (relay && heartbeat != null && heartbeat.sentAtMs > 0 && !isStale(heartbeat, nowMs)) {
            publishReachability(dataCentre, REACHABLE, nowMs, out);
        }
    }

    static boolean saysUnreachable(Fact fact) {
        return fact.value().equals(UNREACHABLE);
    }

    List<HostId> relaysOf(DataCentreId dataCentre) {
        List<Member> candidates = registry.allKnown().stream()
                .filter(member -> member.location().dataCentre().equals(dataCentre) && member.acceptsWork())
                .toList();
        return RendezvousHash.rank("relay/" + dataCentre, candidates, member -> member.host()
                        .value())
                .stream()
                .limit(settings.relaysPerDataCentre())
                .map(Member::host)
                .toList();
    }

    private void reviewReachability(DataCentreId dataCentre, boolean hearsLocalPeers, long nowMs, Effects out) {
        boolean shownUnreachable = registry.isUnreachable(dataCentre);
        long firstHeardAtMs = shownUnreachable ? nowMs - settings.unreachableAfterMs() - 1 : nowMs;
        Heartbeat heartbeat = heartbeats.computeIfAbsent(dataCentre, ignored -> new Heartbeat(0, firstHeardAtMs));
        boolean stale = isStale(heartbeat, nowMs);
        long renewedAgoMs = nowMs - publishedAtMs.getOrDefault(dataCentre, Long.MIN_VALUE / 2);
        if (stale && hearsLocalPeers && renewedAgoMs >= UNREACHABLE_RENEWAL_MS) {
            publishReachability(dataCentre, UNREACHABLE, nowMs, out);
        } else if (!stale && shownUnreachable) {
            publishReachability(dataCentre, REACHABLE, nowMs, out);
        }
    }

    private boolean isStale(Heartbeat heartbeat, long nowMs) {
        return nowMs - heartbeat.advancedAtMs > settings.unreachableAfterMs();
    }

    private void publishReachability(DataCentreId dataCentre, ByteString value, long nowMs, Effects out) {
        FactKey key = new FactKey(MembershipStateMachine.NAME, UNREACHABLE_PREFIX + dataCentre);
        long version = Math.max(nowMs, facts.version(key).orElse(0L) + 1);
        publishedAtMs.put(dataCentre, value.equals(UNREACHABLE) ? nowMs : Long.MIN_VALUE / 2);
        Fact fact = new Fact(key.slice(), key.key(), version, value, UNREACHABLE_LIFETIME_MS, Fact.Scope.DATA_CENTRE);
        publisher.publish(fact, nowMs, out);
    }

    private void take(DataCentreId dataCentre, long sentAtMs, long nowMs) {
        Heartbeat known = heartbeats.get(dataCentre);
        if (known == null || sentAtMs > known.sentAtMs) {
            heartbeats.put(dataCentre, new Heartbeat(sentAtMs, nowMs));
        }
    }

    private Map<DataCentreId, Long> heartbeatTimes() {
        Map<DataCentreId, Long> times = new TreeMap<>();
        heartbeats.forEach((dataCentre, heartbeat) -> {
            if (heartbeat.sentAtMs > 0) {
                times.put(dataCentre, heartbeat.sentAtMs);
            }
        });
        return times;
    }

    /** Returns the daemon to talk to: the relays in turn, or anyone while nothing is heard of the data centre. */
    private Optional<HostId> counterpart(DataCentreId dataCentre) {
        if (registry.isUnreachable(dataCentre)) {
            return Gossip.pickRandom(registry.peersIn(dataCentre), 1, random).stream()
                    .map(Member::host)
                    .findFirst();
        }
        List<HostId> relays = relaysOf(dataCentre);
        return relays.isEmpty() ? Optional.empty() : Optional.of(relays.get((int) (round % relays.size())));
    }

    private List<GossipUpdateQueue> queuesForUpdates() {
        for (DataCentreId dataCentre : registry.dataCentres()) {
            if (!dataCentre.equals(registry.localDataCentre())) {
                updatesByDataCentre.computeIfAbsent(dataCentre, ignored -> new GossipUpdateQueue(registry, facts));
            }
        }
        return updatesByDataCentre.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(updatesOrigin))
                .map(Map.Entry::getValue)
                .toList();
    }

    private void scheduleUpdates(long nowMs, Effects out) {
        if (!updatesScheduled && updatesByDataCentre.values().stream().anyMatch(queue -> !queue.isEmpty())) {
            updatesScheduled = true;
            out.schedule(UPDATES_TIMER, nowMs + UPDATES_DELAY_MS);
        }
    }

    private void send(
            HostId to, GossipUpdates news, Map<DataCentreId, Long> sentAtMs, DigestHashes hashes, Effects out) {
        metrics.counter("membership.relay-summaries-sent").inc();
        out.send(to, new MembershipMessage.RelaySummary(registry.self(), news, sentAtMs, hashes));
    }

    /** Spreads a fact in the data centre. */
    interface Publisher {
        void publish(Fact fact, long nowMs, Effects out);
    }

    /** When a data centre's newest heartbeat was sent by its own clock, and came on here by this daemon's clock. */
    private record Heartbeat(long sentAtMs, long advancedAtMs) {}
}

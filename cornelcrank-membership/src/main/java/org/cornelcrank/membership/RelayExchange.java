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
 * Exchanges summaries with other data centres while this daemon is one of the relays of its own.
 *
 * <p>Relays forward updates after {@link #UPDATES_DELAY_MS}, and in each round exchange hashes and the heartbeats of
 * all data centres. A heartbeat may arrive by any path. If the heartbeat of a data centre does not advance for a while,
 * the relays publish a fact that makes all daemons of this data centre show the members of the other one as dead. Not
 * thread-safe: confined to the daemon's event loop.
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

    /** Assumes or gives up the relay role according to the current members of the data centre. */
    void updateRole(long nowMs, Effects out) {
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

    /** Sets the data centre from which the following changes came, to which they are not sent back; null for none. */
    void setUpdatesOrigin(DataCentreId dataCentre) {
        updatesOrigin = dataCentre;
    }

    void memberChanged(Member before, Member after, long nowMs, Effects out) {
        boolean isLocal = after.location().dataCentre().equals(registry.localDataCentre());
        if (isLocal) {
            updateRole(nowMs, out);
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

    /** Forwards the queued updates to a relay of each other data centre. */
    void sendUpdates(long nowMs, Effects out) {
        updatesScheduled = false;
        if (!relay) {
            return;
        }
        for (Map.Entry<DataCentreId, GossipUpdateQueue> entry : updatesByDataCentre.entrySet()) {
            GossipUpdates updates = entry.getValue().take(MAX_UPDATES_BYTES, nowMs);
            if (!updates.isEmpty()) {
                remotePeer(entry.getKey()).ifPresent(to -> send(to, updates, Map.of(), DigestHashes.NONE, out));
            }
        }
        if (updatesByDataCentre.values().stream().anyMatch(queue -> !queue.isEmpty())) {
            scheduleUpdates(nowMs, out);
        }
    }

    /** Sends heartbeats and hashes to a relay of each other data centre, and heartbeats to the other local relays. */
    void runRound(boolean hasLocalContact, long nowMs, Effects out) {
        if (!relay) {
            return;
        }
        round++;
        heartbeats.put(registry.localDataCentre(), new Heartbeat(nowMs, nowMs));
        DigestHashes hashes = antiEntropy.hashes(nowMs);
        Map<DataCentreId, Long> sentAtMs = heartbeatTimes();
        for (DataCentreId dataCentre : registry.dataCentres()) {
            if (!dataCentre.equals(registry.localDataCentre())) {
                remotePeer(dataCentre).ifPresent(to -> send(to, GossipUpdates.NONE, sentAtMs, hashes, out));
                updateReachability(dataCentre, hasLocalContact, nowMs, out);
            }
        }
        for (HostId other : relaysOf(registry.localDataCentre())) {
            if (!other.equals(registry.self().host())) {
                send(other, GossipUpdates.NONE, sentAtMs, DigestHashes.NONE, out);
            }
        }
        out.schedule(ROUND_TIMER, nowMs + settings.relayIntervalMs());
    }

    /** Restarts the heartbeat timeouts after a pause of this process, during which no heartbeat could arrive. */
    void restartHeartbeatTimeouts(long nowMs) {
        heartbeats.replaceAll((dataCentre, heartbeat) -> new Heartbeat(heartbeat.sentAtMs, nowMs));
    }

    /** Records the heartbeats sent by a relay, or forwards them to a local relay if this daemon is not one. */
    void heartbeatsReceived(MembershipMessage.RelaySummary summary, long nowMs, Effects out) {
        if (relay) {
            summary.heartbeatsByDataCentre()
                    .forEach((dataCentre, sentAtMs) -> recordHeartbeat(dataCentre, sentAtMs, nowMs));
            return;
        }
        boolean fromOutside = !summary.sender().location().dataCentre().equals(registry.localDataCentre());
        List<HostId> relays = relaysOf(registry.localDataCentre());
        if (fromOutside && !summary.heartbeatsByDataCentre().isEmpty() && !relays.isEmpty()) {
            send(relays.get(0), GossipUpdates.NONE, summary.heartbeatsByDataCentre(), DigestHashes.NONE, out);
        }
    }

    /** Refutes another relay's report that a data centre is unreachable if this relay receives its heartbeats. */
    void refuteUnreachable(DataCentreId dataCentre, long nowMs, Effects out) {
        Heartbeat heartbeat = heartbeats.get(dataCentre);
        if (relay && heartbeat != null && heartbeat.sentAtMs > 0 && !isStale(heartbeat, nowMs)) {
            publishReachability(dataCentre, REACHABLE, nowMs, out);
        }
    }

    static boolean marksUnreachable(Fact fact) {
        return fact.value().equals(UNREACHABLE);
    }

    List<HostId> relaysOf(DataCentreId dataCentre) {
        List<Member> candidates = registry.allEntries().stream()
                .filter(member -> member.location().dataCentre().equals(dataCentre) && member.acceptsWork())
                .toList();
        return RendezvousHash.rank("relay/" + dataCentre, candidates, member -> member.host()
                        .value())
                .stream()
                .limit(settings.relaysPerDataCentre())
                .map(Member::host)
                .toList();
    }

    private void updateReachability(DataCentreId dataCentre, boolean hasLocalContact, long nowMs, Effects out) {
        boolean markedUnreachable = registry.isUnreachable(dataCentre);
        long initialAdvancedAtMs = markedUnreachable ? nowMs - settings.unreachableAfterMs() - 1 : nowMs;
        Heartbeat heartbeat = heartbeats.computeIfAbsent(dataCentre, ignored -> new Heartbeat(0, initialAdvancedAtMs));
        boolean stale = isStale(heartbeat, nowMs);
        long renewedAgoMs = nowMs - publishedAtMs.getOrDefault(dataCentre, Long.MIN_VALUE / 2);
        if (stale && hasLocalContact && renewedAgoMs >= UNREACHABLE_RENEWAL_MS) {
            publishReachability(dataCentre, UNREACHABLE, nowMs, out);
        } else if (!stale && markedUnreachable) {
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

    private void recordHeartbeat(DataCentreId dataCentre, long sentAtMs, long nowMs) {
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

    /** Returns the daemon to send to: the relays in turn, or any member while the data centre is unreachable. */
    private Optional<HostId> remotePeer(DataCentreId dataCentre) {
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
            HostId to, GossipUpdates updates, Map<DataCentreId, Long> sentAtMs, DigestHashes hashes, Effects out) {
        metrics.counter("membership.relay-summaries-sent").inc();
        out.send(to, new MembershipMessage.RelaySummary(registry.self(), updates, sentAtMs, hashes));
    }

    /** Publishes a fact in the data centre. */
    interface Publisher {
        void publish(Fact fact, long nowMs, Effects out);
    }

    /** A data centre's newest heartbeat: its send time by the sender's clock, its arrival by the local clock. */
    private record Heartbeat(long sentAtMs, long advancedAtMs) {}
}

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
    static final TimerKey NEWS_TIMER = new TimerKey(MembershipStateMachine.NAME, "relay-news");
    static final String UNREACHABLE_PREFIX = "unreachable/";

    private static final int MAX_NEWS_BYTES = 16 * 1024;
    private static final long NEWS_DELAY_MS = 50;
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
    private final TreeMap<DataCentreId, NewsQueue> newsByDataCentre = new TreeMap<>();
    private final TreeMap<DataCentreId, Heartbeat> heartbeats = new TreeMap<>();
    private final TreeMap<DataCentreId, Long> publishedAtMs = new TreeMap<>();
    private DataCentreId newsOrigin;
    private boolean relay;
    private boolean newsScheduled;
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
            newsByDataCentre.clear();
        }
    }

    /** Says from which data centre the following changes came, so that they are not sent back there; null for none. */
    void setNewsOrigin(DataCentreId dataCentre) {
        newsOrigin = dataCentre;
    }

    void memberChanged(Member before, Member after, long nowMs, Effects out) {
        boolean isLocal = after.location().dataCentre().equals(registry.localDataCentre());
        if (isLocal) {
            reviewRole(nowMs, out);
        }
        boolean onlySuspected = after.state() == MemberState.SUSPECT && before != null;
        if (relay && !onlySuspected) {
            for (NewsQueue queue : queuesForNews()) {
                queue.add(after.host(), 1);
            }
            scheduleNews(nowMs, out);
        }
    }

    void factChanged(Fact fact, long nowMs, Effects out) {
        if (relay && fact.scope() == Fact.Scope.EVERYWHERE) {
            for (NewsQueue queue : queuesForNews()) {
                queue.add(FactKey.of(fact), 1);
            }
            scheduleNews(nowMs, out);
        }
    }

    /** Passes on news that came in lately. */
    void sendNews(long nowMs, Effects out) {
        newsScheduled = false;
        if (!relay) {
            return;
        }
        for (Map.Entry<DataCentreId, NewsQueue> entry : newsByDataCentre.entrySet()) {
            News news = entry.getValue().take(MAX_NEWS_BYTES, nowMs);
            if (!news.isEmpty()) {
                counterpart(entry.getKey()).ifPresent(to -> send(to, news, Map.of(), DigestHashes.NONE, out));
            }
        }
        if (newsByDataCentre.values().stream().anyMatch(queue -> !queue.isEmpty())) {
            scheduleNews(nowMs, out);
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
                counterpart(dataCentre).ifPresent(to -> send(to, News.NONE, sentAtMs, hashes, out));
                reviewReachability(dataCentre, hearsLocalPeers, nowMs, out);
            }
        }
        for (HostId other : relaysOf(registry.localDataCentre())) {
            if (!other.equals(registry.self().host())) {
                send(other, News.NONE, sentAtMs, DigestHashes.NONE, out);
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
            send(relays.get(0), News.NONE, summary.heartbeatsByDataCentre(), DigestHashes.NONE, out);
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

    private List<NewsQueue> queuesForNews() {
        for (DataCentreId dataCentre : registry.dataCentres()) {
            if (!dataCentre.equals(registry.localDataCentre())) {
                newsByDataCentre.computeIfAbsent(dataCentre, ignored -> new NewsQueue(registry, facts));
            }
        }
        return newsByDataCentre.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(newsOrigin))
                .map(Map.Entry::getValue)
                .toList();
    }

    private void scheduleNews(long nowMs, Effects out) {
        if (!newsScheduled && newsByDataCentre.values().stream().anyMatch(queue -> !queue.isEmpty())) {
            newsScheduled = true;
            out.schedule(NEWS_TIMER, nowMs + NEWS_DELAY_MS);
        }
    }

    private void send(HostId to, News news, Map<DataCentreId, Long> sentAtMs, DigestHashes hashes, Effects out) {
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

package org.cornelcrank.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Fact;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.Member;
import org.cornelcrank.core.MemberState;
import org.cornelcrank.core.TimerKey;

/**
 * Periodically compares tables with another daemon and repairs the differences that gossip left.
 *
 * <p>An offer contains only hashes. If they differ, the receiver replies with a digest of its versions; the first
 * daemon sends back the entries that are newer on its side and requests those that it lacks, which the receiver then
 * sends. A starting daemon joins by the same exchange. Facts with data centre scope never leave their data centre. Not
 * thread-safe: confined to the daemon's event loop.
 */
final class AntiEntropy {

    static final TimerKey TIMER = new TimerKey(MembershipStateMachine.NAME, "sync");

    private static final int JOIN_OFFERS = 3;

    private final MemberRegistry registry;
    private final FactTable facts;
    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private boolean joined;
    private boolean behind;

    AntiEntropy(
            MemberRegistry registry,
            FactTable facts,
            MembershipSettings settings,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.registry = registry;
        this.facts = facts;
        this.settings = settings;
        this.random = random;
        this.metrics = metrics;
    }

    /** Sends offers to a random local member and to hosts that should be members but are not. */
    void offerNext(boolean isRelay, long nowMs, Effects out) {
        List<HostId> missing = registry.missingHosts(isRelay);
        int offers = joined ? 1 : JOIN_OFFERS;
        for (HostId host : Gossip.pickRandom(missing, offers, random)) {
            offer(host, nowMs, out);
        }
        for (Member peer : Gossip.pickRandom(registry.localPeers(), 1, random)) {
            offer(peer.host(), nowMs, out);
        }
        long intervalMs = joined && !behind ? settings.syncIntervalMs() : settings.joinRetryMs();
        behind = false;
        out.schedule(TIMER, nowMs + intervalMs / 2 + random.nextLong(intervalMs));
    }

    void offer(HostId to, long nowMs, Effects out) {
        metrics.counter("membership.syncs-offered").inc();
        out.send(to, new MembershipMessage.SyncOffer(registry.self(), hashes(nowMs)));
    }

    DigestHashes hashes(long nowMs) {
        return new DigestHashes(
                registry.hashes(), facts.hash(Fact.Scope.EVERYWHERE, nowMs), facts.hash(Fact.Scope.DATA_CENTRE, nowMs));
    }

    /** Compares another daemon's hashes, and replies with a digest of the parts that differ, if any. */
    void compare(Member sender, DigestHashes theirs, long nowMs, Effects out) {
        DigestHashes mine = hashes(nowMs);
        Set<DataCentreId> differing = differing(mine.membersByDataCentre(), theirs.membersByDataCentre());
        boolean everywhere = mine.everywhereFacts() != theirs.everywhereFacts();
        boolean local = isLocal(sender) && mine.dataCentreFacts() != theirs.dataCentreFacts();
        if (differing.isEmpty() && !everywhere && !local) {
            return;
        }
        List<FactVersion> versions = factVersions(everywhere, local, nowMs);
        out.send(
                sender.host(),
                new MembershipMessage.SyncDigest(
                        registry.self(), differing, registry.versionsIn(differing), everywhere, local, versions));
    }

    /** Replies to a digest with the entries that are newer here, and requests those that are newer there. */
    void replyToDigest(MembershipMessage.SyncDigest digest, long nowMs, Effects out) {
        joined = true;
        metrics.counter("membership.syncs-differing").inc();
        List<Member> newerMembers = new ArrayList<>();
        List<HostId> wantedMembers = new ArrayList<>();
        compareMembers(digest, newerMembers, wantedMembers);
        List<Fact> newerFacts = new ArrayList<>();
        List<FactKey> wantedFacts = new ArrayList<>();
        compareFacts(digest, newerFacts, wantedFacts, nowMs);
        if (newerMembers.isEmpty() && newerFacts.isEmpty() && wantedMembers.isEmpty() && wantedFacts.isEmpty()) {
            return;
        }
        GossipUpdates updates = new GossipUpdates(newerMembers, newerFacts);
        out.send(digest.sender().host(), new MembershipMessage.SyncDelta(updates, wantedMembers, wantedFacts));
    }

    /** Sends another daemon the entries that it requested. */
    void sendRequested(HostId to, MembershipMessage.SyncDelta request, long nowMs, Effects out) {
        joined = true;
        if (request.requestedMembers().isEmpty() && request.requestedFacts().isEmpty()) {
            return;
        }
        boolean local = registry.lastKnown(to).filter(this::isLocal).isPresent();
        List<Member> members = request.requestedMembers().stream()
                .map(registry::lastKnown)
                .flatMap(Optional::stream)
                .toList();
        List<Fact> requestedFacts = request.requestedFacts().stream()
                .map(key -> facts.find(key, nowMs))
                .flatMap(Optional::stream)
                .filter(fact -> local || fact.scope() == Fact.Scope.EVERYWHERE)
                .toList();
        out.send(to, new MembershipMessage.SyncDelta(new GossipUpdates(members, requestedFacts), List.of(), List.of()));
    }

    /** Shortens the time to the next sync, because a large delta suggests that more entries are missing. */
    void markBehind() {
        behind = true;
    }

    boolean joined() {
        return joined;
    }

    private void compareMembers(MembershipMessage.SyncDigest digest, List<Member> newer, List<HostId> wanted) {
        Set<HostId> named = new HashSet<>();
        for (MemberVersion theirs : digest.members()) {
            named.add(theirs.host());
            Optional<Member> mine = registry.lastKnown(theirs.host());
            if (mine.isEmpty() ? theirs.state() != MemberState.DEAD : theirs.supersedes(MemberVersion.of(mine.get()))) {
                wanted.add(theirs.host());
            } else if (mine.isPresent() && MemberVersion.of(mine.get()).supersedes(theirs)) {
                newer.add(mine.get());
            }
        }
        for (Member member : registry.allEntries()) {
            boolean covered = digest.dataCentres().contains(member.location().dataCentre());
            if (covered && member.state() != MemberState.DEAD && !named.contains(member.host())) {
                newer.add(member);
            }
        }
    }

    private void compareFacts(MembershipMessage.SyncDigest digest, List<Fact> newer, List<FactKey> wanted, long nowMs) {
        Map<FactKey, Long> theirs = new TreeMap<>();
        for (FactVersion version : digest.facts()) {
            theirs.put(version.key(), version.version());
            if (facts.version(version.key()).orElse(Long.MIN_VALUE) < version.version()) {
                wanted.add(version.key());
            }
        }
        boolean local = digest.dataCentreFacts() && isLocal(digest.sender());
        for (FactVersion mine : factVersions(digest.everywhereFacts(), local, nowMs)) {
            if (theirs.getOrDefault(mine.key(), Long.MIN_VALUE) < mine.version()) {
                facts.find(mine.key(), nowMs).ifPresent(newer::add);
            }
        }
    }

    private List<FactVersion> factVersions(boolean everywhere, boolean local, long nowMs) {
        List<FactVersion> versions = new ArrayList<>();
        if (everywhere) {
            versions.addAll(facts.versions(Fact.Scope.EVERYWHERE, nowMs));
        }
        if (local) {
            versions.addAll(facts.versions(Fact.Scope.DATA_CENTRE, nowMs));
        }
        return versions;
    }

    private boolean isLocal(Member member) {
        return member.location().dataCentre().equals(registry.localDataCentre());
    }

    private static Set<DataCentreId> differing(Map<DataCentreId, Long> mine, Map<DataCentreId, Long> theirs) {
        Set<DataCentreId> all = new TreeSet<>(mine.keySet());
        all.addAll(theirs.keySet());
        all.removeIf(dataCentre ->
                mine.containsKey(dataCentre) && mine.get(dataCentre).equals(theirs.get(dataCentre)));
        return all;
    }
}

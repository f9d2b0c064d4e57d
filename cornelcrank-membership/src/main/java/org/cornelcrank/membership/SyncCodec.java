package org.cornelcrank.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import org.cornelcrank.core.DataCentreId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.membership.wire.WireDigestHashes;
import org.cornelcrank.membership.wire.WireFactVersion;
import org.cornelcrank.membership.wire.WireMemberVersion;
import org.cornelcrank.membership.wire.WireRelaySummary;
import org.cornelcrank.membership.wire.WireSyncDelta;
import org.cornelcrank.membership.wire.WireSyncDigest;
import org.cornelcrank.membership.wire.WireSyncOffer;

/**
 * Encodes and decodes the messages of anti-entropy and of the relay exchange.
 *
 * <p>Stateless, thus thread-safe.
 */
final class SyncCodec {

    private SyncCodec() {}

    static WireSyncOffer encode(MembershipMessage.SyncOffer offer) {
        return WireSyncOffer.newBuilder()
                .setSender(GossipUpdateCodec.encode(offer.sender()))
                .setHashes(encode(offer.hashes()))
                .build();
    }

    static MembershipMessage decode(WireSyncOffer wire) {
        return new MembershipMessage.SyncOffer(GossipUpdateCodec.decode(wire.getSender()), decode(wire.getHashes()));
    }

    static WireSyncDigest encode(MembershipMessage.SyncDigest digest) {
        WireSyncDigest.Builder wire = WireSyncDigest.newBuilder()
                .setSender(GossipUpdateCodec.encode(digest.sender()))
                .setEverywhereFacts(digest.everywhereFacts())
                .setDataCentreFacts(digest.dataCentreFacts());
        new TreeSet<>(digest.dataCentres()).forEach(dataCentre -> wire.addDataCentres(dataCentre.value()));
        digest.members().forEach(version -> wire.addMembers(encode(version)));
        digest.facts().forEach(version -> wire.addFacts(encode(version.key(), version.version())));
        return wire.build();
    }

    static MembershipMessage decode(WireSyncDigest wire) {
        TreeSet<DataCentreId> dataCentres = new TreeSet<>();
        wire.getDataCentresList().forEach(name -> dataCentres.add(new DataCentreId(name)));
        List<FactVersion> facts = wire.getFactsList().stream()
                .map(version -> new FactVersion(decodeKey(version), version.getVersion()))
                .toList();
        return new MembershipMessage.SyncDigest(
                GossipUpdateCodec.decode(wire.getSender()),
                dataCentres,
                wire.getMembersList().stream().map(SyncCodec::decode).toList(),
                wire.getEverywhereFacts(),
                wire.getDataCentreFacts(),
                facts);
    }

    static WireSyncDelta encode(MembershipMessage.SyncDelta delta) {
        WireSyncDelta.Builder wire = WireSyncDelta.newBuilder().setNews(GossipUpdateCodec.encode(delta.updates()));
        delta.requestedMembers().forEach(host -> wire.addWantedMembers(host.value()));
        delta.requestedFacts().forEach(key -> wire.addWantedFacts(encode(key, 0)));
        return wire.build();
    }

    static MembershipMessage decode(WireSyncDelta wire) {
        return new MembershipMessage.SyncDelta(
                GossipUpdateCodec.decode(wire.getNews()),
                wire.getWantedMembersList().stream().map(HostId::new).toList(),
                wire.getWantedFactsList().stream().map(SyncCodec::decodeKey).toList());
    }

    static WireRelaySummary encode(MembershipMessage.RelaySummary summary) {
        WireRelaySummary.Builder wire = WireRelaySummary.newBuilder()
                .setSender(GossipUpdateCodec.encode(summary.sender()))
                .setNews(GossipUpdateCodec.encode(summary.updates()))
                .setHashes(encode(summary.hashes()));
        summary.heartbeatsByDataCentre()
                .forEach((dataCentre, sentAtMs) -> wire.putHeartbeatsByDataCentre(dataCentre.value(), sentAtMs));
        return wire.build();
    }

    static MembershipMessage decode(WireRelaySummary wire) {
        return new MembershipMessage.RelaySummary(
                GossipUpdateCodec.decode(wire.getSender()),
                GossipUpdateCodec.decode(wire.getNews()),
                byDataCentre(wire.getHeartbeatsByDataCentreMap()),
                decode(wire.getHashes()));
    }

    private static WireDigestHashes encode(DigestHashes hashes) {
        WireDigestHashes.Builder wire = WireDigestHashes.newBuilder()
                .setEverywhereFacts(hashes.everywhereFacts())
                .setDataCentreFacts(hashes.dataCentreFacts());
        hashes.membersByDataCentre()
                .forEach((dataCentre, hash) -> wire.putMembersByDataCentre(dataCentre.value(), hash));
        return wire.build();
    }

    private static DigestHashes decode(WireDigestHashes wire) {
        return new DigestHashes(
                byDataCentre(wire.getMembersByDataCentreMap()), wire.getEverywhereFacts(), wire.getDataCentreFacts());
    }

    private static Map<DataCentreId, Long> byDataCentre(Map<String, Long> wire) {
        Map<DataCentreId, Long> decoded = new TreeMap<>();
        wire.forEach((name, number) -> decoded.put(new DataCentreId(name), number));
        return decoded;
    }

    private static WireMemberVersion encode(MemberVersion version) {
        return WireMemberVersion.newBuilder()
                .setHost(version.host().value())
                .setIncarnation(version.incarnation())
                .setState(GossipUpdateCodec.encode(version.state()))
                .build();
    }

    private static MemberVersion decode(WireMemberVersion wire) {
        return new MemberVersion(
                new HostId(wire.getHost()), wire.getIncarnation(), GossipUpdateCodec.decodeState(wire.getState()));
    }

    private static WireFactVersion encode(FactKey key, long version) {
        return WireFactVersion.newBuilder()
                .setSlice(key.slice())
                .setKey(key.key())
                .setVersion(version)
                .build();
    }

    private static FactKey decodeKey(WireFactVersion wire) {
        return new FactKey(wire.getSlice(), wire.getKey());
    }
}

package org.cornelcrank.membership;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PeerMessage;
import org.cornelcrank.core.PeerMessageCodec;
import org.cornelcrank.membership.wire.MembershipEnvelope;
import org.cornelcrank.membership.wire.WireGossip;
import org.cornelcrank.membership.wire.WireIndirectProbe;
import org.cornelcrank.membership.wire.WireProbe;
import org.cornelcrank.membership.wire.WireProbeAck;

/**
 * Encodes and decodes {@link MembershipMessage}s with protobuf.
 *
 * <p>Stateless, thus thread-safe.
 */
public final class MembershipMessageCodec implements PeerMessageCodec {

    @Override
    public String slice() {
        return MembershipStateMachine.NAME;
    }

    @Override
    public boolean supports(PeerMessage message) {
        return message instanceof MembershipMessage;
    }

    @Override
    public ByteString encode(PeerMessage message) {
        MembershipEnvelope.Builder envelope = MembershipEnvelope.newBuilder();
        if (message instanceof MembershipMessage.Probe probe) {
            envelope.setProbe(WireProbe.newBuilder()
                    .setNumber(probe.number())
                    .setNews(GossipUpdateCodec.encode(probe.updates())));
        } else if (message instanceof MembershipMessage.ProbeAck ack) {
            envelope.setProbeAck(
                    WireProbeAck.newBuilder().setNumber(ack.number()).setNews(GossipUpdateCodec.encode(ack.updates())));
        } else if (message instanceof MembershipMessage.IndirectProbe request) {
            envelope.setIndirectProbe(WireIndirectProbe.newBuilder()
                    .setNumber(request.number())
                    .setTarget(request.target().value())
                    .setNews(GossipUpdateCodec.encode(request.updates())));
        } else if (message instanceof MembershipMessage.Gossip carried) {
            envelope.setGossip(WireGossip.newBuilder().setNews(GossipUpdateCodec.encode(carried.updates())));
        } else if (message instanceof MembershipMessage.SyncOffer offer) {
            envelope.setSyncOffer(SyncCodec.encode(offer));
        } else if (message instanceof MembershipMessage.SyncDigest digest) {
            envelope.setSyncDigest(SyncCodec.encode(digest));
        } else if (message instanceof MembershipMessage.SyncDelta delta) {
            envelope.setSyncDelta(SyncCodec.encode(delta));
        } else if (message instanceof MembershipMessage.RelaySummary summary) {
            envelope.setRelaySummary(SyncCodec.encode(summary));
        } else {
            throw new IllegalArgumentException("message must be a membership message but was " + message);
        }
        return envelope.build().toByteString();
    }

    @Override
    public PeerMessage decode(ByteString payload) throws InvalidProtocolBufferException {
        MembershipEnvelope envelope = MembershipEnvelope.parseFrom(payload);
        try {
            return decode(envelope);
        } catch (IllegalArgumentException e) {
            throw new InvalidProtocolBufferException("membership message is invalid: " + e.getMessage());
        }
    }

    private static MembershipMessage decode(MembershipEnvelope envelope) {
        switch (envelope.getKindCase()) {
            case PROBE:
                return new MembershipMessage.Probe(
                        envelope.getProbe().getNumber(),
                        GossipUpdateCodec.decode(envelope.getProbe().getNews()));
            case PROBE_ACK:
                return new MembershipMessage.ProbeAck(
                        envelope.getProbeAck().getNumber(),
                        GossipUpdateCodec.decode(envelope.getProbeAck().getNews()));
            case INDIRECT_PROBE:
                WireIndirectProbe request = envelope.getIndirectProbe();
                return new MembershipMessage.IndirectProbe(
                        request.getNumber(),
                        new HostId(request.getTarget()),
                        GossipUpdateCodec.decode(request.getNews()));
            case GOSSIP:
                return new MembershipMessage.Gossip(
                        GossipUpdateCodec.decode(envelope.getGossip().getNews()));
            case SYNC_OFFER:
                return SyncCodec.decode(envelope.getSyncOffer());
            case SYNC_DIGEST:
                return SyncCodec.decode(envelope.getSyncDigest());
            case SYNC_DELTA:
                return SyncCodec.decode(envelope.getSyncDelta());
            case RELAY_SUMMARY:
                return SyncCodec.decode(envelope.getRelaySummary());
            default:
                throw new IllegalArgumentException("message must be of a known kind");
        }
    }
}

package org.cornelcrank.server.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import org.cornelcrank.core.HostId;
import org.cornelcrank.server.wire.DatagramContent;
import org.cornelcrank.server.wire.Envelope;
import org.cornelcrank.server.wire.SealedDatagram;

/**
 * Seals and receives messages that fit in one datagram, each signed with the shared key.
 *
 * <p>Thread-safe.
 */
final class PeerDatagrams extends SimpleChannelInboundHandler<DatagramPacket> {

    static final int MAX_DATAGRAM_BYTES = 1_400;

    private final PeerIdentity identity;
    private final SharedKey key;
    private final PeerReceiver receiver;
    private final Counter rejected;

    PeerDatagrams(PeerIdentity identity, SharedKey key, PeerReceiver receiver, MetricRegistry metrics) {
        this.identity = identity;
        this.key = key;
        this.receiver = receiver;
        this.rejected = metrics.counter("peer.datagrams-rejected");
    }

    @Override
    public boolean isSharable() {
        return false;
    }

    /** Returns the datagram of a message, which may exceed {@link #MAX_DATAGRAM_BYTES}. */
    byte[] seal(HostId to, Envelope envelope) {
        ByteString signed = DatagramContent.newBuilder()
                .setProtocolVersion(Handshake.PROTOCOL_VERSION)
                .setDeployment(identity.deployment())
                .setHost(identity.host().value())
                .setReceiver(to.value())
                .setEnvelope(envelope)
                .build()
                .toByteString();
        return SealedDatagram.newBuilder()
                .setSignedPart(signed)
                .setProof(key.computeProof(signed))
                .build()
                .toByteArray();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
        try {
            unseal(packet);
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            rejected.inc();
        }
    }

    private void unseal(DatagramPacket packet) throws InvalidProtocolBufferException {
        SealedDatagram sealed = SealedDatagram.parseFrom(ByteBufUtil.getBytes(packet.content()));
        if (!key.isValidProof(sealed.getProof(), sealed.getSignedPart())) {
            rejected.inc();
            return;
        }
        DatagramContent content = DatagramContent.parseFrom(sealed.getSignedPart());
        if (content.getDeployment().equals(identity.deployment())
                && content.getReceiver().equals(identity.host().value())) {
            receiver.receive(new HostId(content.getHost()), content.getEnvelope());
        } else {
            rejected.inc();
        }
    }
}

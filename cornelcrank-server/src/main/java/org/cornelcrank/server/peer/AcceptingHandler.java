package org.cornelcrank.server.peer;

import java.util.Optional;
import java.util.function.Function;

import com.codahale.metrics.Counter;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.cornelcrank.core.HostId;
import org.cornelcrank.server.wire.Challenge;
import org.cornelcrank.server.wire.Envelope;
import org.cornelcrank.server.wire.Frame;
import org.cornelcrank.server.wire.Hello;
import org.cornelcrank.server.wire.Rejection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepting side of a peer connection: authenticates the peer, then receives its messages, unless the peer wants a
 * connection to a target to be relayed.
 *
 * <p>Invariants: no message is accepted before the peer has proven that it holds the shared key. Messages are sent to the
 * peer over the connection only if it has stated that it accepts them, and only after its first message, which shows
 * that it has accepted this daemon and wants no relay. Not thread-safe: confined to its channel.
 */
final class AcceptingHandler extends SimpleChannelInboundHandler<Frame> {

    private static final Logger LOGGER = LoggerFactory.getLogger(AcceptingHandler.class);

    private final Handshake handshake;
    private final PeerReceiver receiver;
    private final Optional<RelayedConnections> relays;
    private final Function<HostId, PeerConnection> connections;
    private final Counter unresponsive;
    private final Challenge challenge;
    private HostId peer;
    private Hello hello;
    private long helloNumber;
    private boolean sendsMessages;

    AcceptingHandler(
            Handshake handshake,
            PeerReceiver receiver,
            Optional<RelayedConnections> relays,
            Function<HostId, PeerConnection> connections,
            Counter unresponsive) {
        this.relays = relays;
        this.handshake = handshake;
        this.receiver = receiver;
        this.connections = connections;
        this.unresponsive = unresponsive;
        this.challenge = handshake.challenge();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(Frame.newBuilder().setChallenge(challenge).build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (peer != null && frame.hasEnvelope()) {
            onMessage(context, frame.getEnvelope());
        } else if (peer != null && frame.hasPing()) {
            context.writeAndFlush(LivenessHandler.PONG);
        } else if (peer != null && frame.hasOpenRelay() && relays.isPresent() && !sendsMessages) {
            relay(context, relays.get(), frame.getOpenRelay().getTarget());
        } else if (peer == null && frame.hasHello()) {
            onHello(context, frame.getHello());
        } else {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.debug("Connection from peer {} failed: {}", peer, cause.toString());
        context.close();
    }

    private void onMessage(ChannelHandlerContext context, Envelope message) {
        if (hello.getAcceptsMessages() && !sendsMessages) {
            sendsMessages = true;
            context.pipeline().addBefore(context.name(), "liveness", new LivenessHandler(peer, unresponsive));
            connections.apply(peer).onAccepted(context.channel(), hello.getIncarnation(), helloNumber);
        }
        receiver.receive(peer, message);
    }

    private void relay(ChannelHandlerContext context, RelayedConnections connections, String target) {
        RelayedConnection connection = connections.reserve(peer, target);
        context.pipeline().replace(this, null, new RelayHandler(connections, new RelayTcpConnector(), connection));
    }

    private void onHello(ChannelHandlerContext context, Hello received) {
        String reason = handshake.rejectionReason(challenge, received).orElse(null);
        if (reason == null) {
            hello = received;
            peer = new HostId(hello.getHost());
            helloNumber = connections.apply(peer).onHello(hello.getIncarnation());
            context.writeAndFlush(Frame.newBuilder()
                    .setWelcome(handshake.welcome(challenge, hello))
                    .build());
            return;
        }
        LOGGER.warn("Rejected peer at {}: {}", context.channel().remoteAddress(), reason);
        Frame rejection = Frame.newBuilder()
                .setRejection(Rejection.newBuilder().setReason(reason))
                .build();
        context.writeAndFlush(rejection).addListener(ChannelFutureListener.CLOSE);
    }
}
